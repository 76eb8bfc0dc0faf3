"""Tests of the callers' HTTP."""
