"""Tests of the steering by a desired state."""
