"""A randomized soak: the programs as processes, under faults from outside."""
