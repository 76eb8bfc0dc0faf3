"""Tests of slots and shares."""
