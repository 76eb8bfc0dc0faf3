"""Tests of look-ups."""
