"""Randomized soak test with fault injection into real processes.

A seed decides the faults and the requests; after a run, the promises of
the gateways are checked against what callers and servers recorded.
"""
