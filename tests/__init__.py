"""Tests; ``python -m tests`` runs them all."""

from hypothesis import settings

# Makes every run use the same examples: hypothesis derives its seed from
# the source of each test.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
