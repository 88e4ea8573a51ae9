"""Choice of a replica for each attempt, with and without a permit."""
