"""Tests with real processes: kills, pauses, cut links and silent links."""
