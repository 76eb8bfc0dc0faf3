"""Tests of the assignment of slots and of shares between regions."""
