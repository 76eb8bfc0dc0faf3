"""Claims on idempotency keys, by which a command runs at most once."""
