"""Tests of what is deployed on the users' platform."""
