"""Typed messages on the wire, errors, and the mapping to HTTP."""
