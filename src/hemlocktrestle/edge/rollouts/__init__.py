"""Moves of services to other versions: grants, reports, and what this VM may use."""
