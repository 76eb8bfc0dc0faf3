"""Look-ups: which entries a caller should use, by blocks of clients and distance."""
