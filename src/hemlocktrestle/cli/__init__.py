"""The operators' command-line tool: settings, status, claims and quarantine."""
