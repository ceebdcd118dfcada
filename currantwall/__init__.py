"""Serving system for models whose replicas span several instances."""

__all__ = ["__version__"]

__version__ = "0.1.0"
