"""Latency histograms with few significant digits and exact counts."""

from hemlocktrestle.latency._latencies import Latencies, Percentiles

__all__ = ["Latencies", "Percentiles"]
