"""Assignment of instances to replicas, and the right to decide on it.

The input is the reports of the instances and the leases of the domains;
the output is orders to instances. A gateway that holds the lease of a
domain plans with `formation`, from the reports kept in `knowledge`. An
entry node of the product's own interface plans with `placement` and
`repair` over a stored ledger; `controller` runs them. Start reading with
`leases`.
"""
