"""Demonstrations of the system."""
