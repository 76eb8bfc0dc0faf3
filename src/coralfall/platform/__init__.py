"""Adapter to the users' platform: translates between its interfaces and this package's types.

Names of the platform's headers, calls and rows occur in this package only. Decisions,
state and recovery are the concern of :mod:`coralfall.traffic`.
"""
