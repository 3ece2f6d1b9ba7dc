"""Configuration distribution for a service mesh.

One small proxy stands in each target instance. It reads the accepted document,
enforces it and passes it on to its peers.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
