"""A randomised soak: real entries as processes, with faults from outside; see :mod:`.__main__`."""
