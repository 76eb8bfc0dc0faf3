"""Placement: the decisions on where a request runs, whether it waits, and when it is turned away.

Nothing here reads, writes or sleeps: decisions take the time from a clock that they are given, and
what they know from calls. :mod:`.affinity` places, by :mod:`.shares`, :mod:`.speed` and
:mod:`.cold`; :mod:`.admission` says what can still be served in time; :mod:`.budget` bounds second
sends; :mod:`.split` deals a route's requests to its services; :mod:`.targets` is what is known of
each target.
"""
