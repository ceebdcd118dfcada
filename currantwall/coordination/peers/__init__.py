"""Membership of the fleet, failure detection and dissemination.

The modules take heartbeats, digests and the platform's lists, and decide
which nodes a message goes to, which addresses callers get and which nodes
read the store for the others. A gateway uses `presence` and `digests`; an
entry of the product's own interface uses `membership` and `broadcast`.
Start with `presence`.
"""
