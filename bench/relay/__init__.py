"""Benchmark of the token relay: real processes on loopback."""
