"""What the product needs around it: an object store and a list of hosts."""
