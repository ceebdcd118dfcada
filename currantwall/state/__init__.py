"""Values the decisions work on: ids, enums, profiles, records, views.

Nothing here performs I/O, reads a clock or draws random numbers.
"""
