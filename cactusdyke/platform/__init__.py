"""Adapters to the platform: its object service and its host list."""
