"""Tests of when a request leaves its zone or region."""
