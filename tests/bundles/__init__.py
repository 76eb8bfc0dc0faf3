"""Tests of bundles."""
