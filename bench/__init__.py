"""Measurements that print a table and write JSON below build/bench."""
