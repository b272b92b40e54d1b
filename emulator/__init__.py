"""An emulator of what the product serves, with a load and experiments.

The daemons' own code (the serving core and membership) runs in virtual time
between emulated callers and emulated backend servers. What a deployment is like
stands in scenario files; what is changed for an experiment in policy files.
"""
