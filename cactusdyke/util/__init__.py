"""Small helpers without a room of their own."""
