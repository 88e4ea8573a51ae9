"""Tests of the peers package."""
