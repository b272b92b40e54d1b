"""Serving requests with opaque payloads: routes, stages, replicas, retries."""
