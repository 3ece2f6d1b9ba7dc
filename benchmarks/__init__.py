"""Programs that measure the system."""
