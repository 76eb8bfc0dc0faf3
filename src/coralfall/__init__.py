"""Global traffic steering for partners who share VMs and target capacity."""

__version__ = "0.1.0"
