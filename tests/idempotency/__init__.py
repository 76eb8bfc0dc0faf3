"""Tests of claims on idempotency keys."""
