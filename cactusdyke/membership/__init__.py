"""Membership among daemons."""
