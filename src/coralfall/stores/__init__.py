"""What is needed of a platform's table and object store, and clients of our own stand-in."""
