"""Tests of entries that run by signed bundles."""
