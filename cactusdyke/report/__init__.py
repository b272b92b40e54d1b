"""Reads daemons' logs and tells where requests lost their worth."""
