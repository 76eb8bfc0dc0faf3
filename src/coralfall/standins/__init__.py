"""Small stand-ins of the platform and of targets, and all of it in one process."""
