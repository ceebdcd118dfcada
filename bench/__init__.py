"""Demonstration, load generator and benchmarks.

Speed is measured here only.
"""
