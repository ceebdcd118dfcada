"""What happens to a request: who takes it, who waits, what is repeated.

In come requests, what upstreams answer and what other nodes have in work;
out come choices, refusals with a time to come back, and repeats. For a
gateway start with `placing` and `balancing`, for an entry of the product's
own interface with `admission`, `routing` and `homes`.
"""
