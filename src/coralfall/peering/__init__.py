"""Streams between entries, and the messages on them."""
