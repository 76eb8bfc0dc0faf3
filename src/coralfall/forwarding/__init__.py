"""The path of a request of an installation that runs by signed bundles."""
