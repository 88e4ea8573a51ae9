"""Tests of the deployment files for the users' platform."""
