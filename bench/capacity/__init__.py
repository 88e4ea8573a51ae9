"""Capacity benchmark: the cost of each role, measured at three or more sizes.

A slope is the line fitted to the points of one measurement.  Slopes times the
counts of the capacity target give the cost of each role at the target.
"""
