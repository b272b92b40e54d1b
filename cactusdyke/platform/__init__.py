"""The adapter for the users' platform: its protocol, settings and store."""
