"""Tests of hemlocktrestle.edge.store."""
