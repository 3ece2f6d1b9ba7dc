"""Adapters to the platform that publishes the document."""
