"""Tests of the keeper."""
