"""Tests of the platform's interfaces."""
