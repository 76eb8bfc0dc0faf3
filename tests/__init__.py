"""Tests of coralfall."""
