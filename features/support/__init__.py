"""Virtual time, in-memory connections and small deployments for tests."""
