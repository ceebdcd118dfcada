"""Planned stops: of instances that operators name, and of this node.

The input is the stops and the state of replicas and requests; the output is
each stop's progress, and which node takes over the keys of a node that
leaves. Start reading with `stopping`.
"""
