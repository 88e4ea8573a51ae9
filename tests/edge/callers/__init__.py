"""Tests of hemlocktrestle.edge.callers."""
