"""Stand-ins and a harness for the scripts of the second review."""
