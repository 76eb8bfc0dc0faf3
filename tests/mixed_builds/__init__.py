"""Shows that a new build works beside an old one and on its data; see :mod:`.__main__`."""
