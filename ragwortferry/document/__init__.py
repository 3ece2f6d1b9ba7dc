"""The document that operators publish: its sections, manifest and validation."""
