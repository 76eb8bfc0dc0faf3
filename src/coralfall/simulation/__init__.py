"""Simulation: the decisions of an entry on virtual time, against targets and callers of a model.

:mod:`.scenario` is what a file describes, :mod:`.world` plays it with the decisions that run in
production, :mod:`.score` counts what callers got, :mod:`.report` and :mod:`.simulation_cli`
show it.
"""
