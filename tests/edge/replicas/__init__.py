"""Tests of hemlocktrestle.edge.replicas."""
