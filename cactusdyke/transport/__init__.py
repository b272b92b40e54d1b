"""HTTP through libraries: serving, calling and typed messages."""
