"""Request handling: routing, admission control, retries, at-most-once.

The modules take requests, the answers of upstreams and the attempts in
progress at other nodes, and return routing decisions, refusals with the
time to wait before a retry, and retries. For a gateway start reading with
`placing` and `balancing`, for an entry of the product's own interface
with `admission`, `routing` and `homes`.
"""
