"""Tests of streams between entries."""
