"""Which instances form which replicas, and who may say so.

In come reports of instances and leases; out come orders to instances. A
gateway's holder of a domain plans with `formation` by what `knowledge`
holds; an entry of the product's own interface plans with `placement` and
`repair` over a stored ledger, led by `controller`. Start with `leases`.
"""
