"""Tests of the latency histograms."""
