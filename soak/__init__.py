"""A randomized soak test: runs the real processes and injects faults from outside."""
