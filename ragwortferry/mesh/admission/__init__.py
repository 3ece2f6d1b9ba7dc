"""What may run at an upstream, when, and in which order."""
