"""Tests of periodic timers."""
