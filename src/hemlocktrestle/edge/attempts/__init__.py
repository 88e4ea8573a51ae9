"""Attempts of a request at replicas, and what their ends tell."""
