"""Placement: decides which target serves a request, whether it waits, and when it is rejected.

Nothing here does I/O or sleeps: the time comes from an injected clock, all other input from calls.
:mod:`.affinity` selects targets, using :mod:`.locality`, :mod:`.slow_targets` and
:mod:`.cold_targets`; :mod:`.admission` estimates which requests can still be answered in time;
:mod:`.retry_budget` limits additional sends of a request; :mod:`.weighted_split` distributes the
requests of a route over its services; :mod:`.targets` holds what is known of each target.
"""
