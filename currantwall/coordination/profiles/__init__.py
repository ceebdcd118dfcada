"""Profiles: their edits, their grants of capacity and their forecasts.

`configuration` keeps the stored objects of this node up to date and
`edits` stores what operators change. `granting` plans how many replicas
of a profile each domain may hold, `shares` is the domain's side of that.
`usage` measures what profiles hold, for `forecast`. Only the product's own
interface has profiles. Start with `configuration` and `granting`.
"""
