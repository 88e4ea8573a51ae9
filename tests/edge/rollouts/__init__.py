"""Tests of moves of services to other versions at the edge."""
