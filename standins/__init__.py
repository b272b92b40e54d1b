"""Small stand-ins for the outside systems that cactusdyke meets."""
