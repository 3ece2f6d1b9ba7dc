"""The configuration document: sections, manifest, validation and snapshots."""
