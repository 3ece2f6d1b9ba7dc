"""Configuration distribution for a service mesh.

A small proxy runs in each target instance. It reads the accepted configuration
document, enforces it and distributes it to its peers.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
