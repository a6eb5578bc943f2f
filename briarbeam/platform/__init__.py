"""The adapter to the users' platform: its names, formats and calls, without any policy."""
