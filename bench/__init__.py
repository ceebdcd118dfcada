"""Demonstration, load generator and benchmarks of the whole system."""
