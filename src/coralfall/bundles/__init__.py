"""Bundles of a partner: what they say, how they are signed, staged and rolled out."""
