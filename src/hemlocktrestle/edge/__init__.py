"""The daemon in front of the users' platform: it serves callers on one VM."""
