"""Tests of the admission and classification of requests."""
