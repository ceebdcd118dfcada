"""Which nodes there are, who lives, and how news goes round.

In come heartbeats, digests and lists; out come the nodes to tell, callers'
addresses and who reads the store for the others. A gateway uses `presence`
and `digests`, an entry of the product's own interface `membership` and
`broadcast`. Start with `presence`.
"""
