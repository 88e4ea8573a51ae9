"""Soaks: the real programs as processes, with faults from outside, under load."""
