"""A randomized soak over real processes, from one seed."""
