"""Tests of hemlocktrestle.edge.placing."""
