"""Tests of what every process is made of."""
