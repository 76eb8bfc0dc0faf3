"""Assignment of target slots to entries: ownership, loans, shares of regions and target health."""
