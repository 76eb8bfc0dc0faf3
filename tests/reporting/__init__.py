"""Tests of reports and status."""
