"""Tests of the edge package."""
