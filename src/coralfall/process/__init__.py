"""What every process is made of: supervisor tree, loop, clock, logs, metrics."""
