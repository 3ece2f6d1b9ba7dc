"""Helpers shared by all parts."""
