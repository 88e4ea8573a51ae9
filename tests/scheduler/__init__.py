"""Tests of the pool scheduler."""
