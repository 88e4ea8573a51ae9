"""Tests of hemlocktrestle.edge.attempts."""
