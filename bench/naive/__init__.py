"""Naive versions that the oracles must catch and the figures beat."""
