"""What operators allow: profiles, their edits, and what they hold.

In come edits and the demand of each profile; out come versions in force,
grants of replicas and forecasts of hours. Only the product's own interface
has profiles. Start with `configuration` and `granting`.
"""
