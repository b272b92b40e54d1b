"""Metrics, traces and cost."""
