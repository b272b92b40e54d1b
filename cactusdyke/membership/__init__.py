"""Gossip membership and failure detection among daemons."""
