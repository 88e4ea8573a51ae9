"""Soak tests: the real programs as processes under load, with injected faults."""
