"""Serves requests with opaque payloads: routing, stages, replicas, retries."""
