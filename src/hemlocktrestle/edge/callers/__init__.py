"""Serving callers: listeners, admission, the answer and the shutdown."""
