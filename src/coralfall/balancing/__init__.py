"""Slots of targets: who may use how many, lending, shares of regions, health."""
