"""Scheduling policy benchmark: a simulation in virtual time with fake engines.

The real scheduling code is compared with simple baselines and with an oracle.
"""
