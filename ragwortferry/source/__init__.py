"""Adapters to the platform that publishes the document and the instance list."""
