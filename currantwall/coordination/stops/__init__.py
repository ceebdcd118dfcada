"""Planned stops: of instances that operators name, and of this node.

In come stops and what is still under way; out come what to drain, and who
takes over the keys of a node that leaves. Start with `stopping`.
"""
