"""Entries that run by signed bundles: roster, leases, the control loop, the process."""
