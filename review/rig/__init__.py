"""Stand-ins for the platform's store, replicas and callers, in plain asyncio.

They follow the users' pages, need nothing but the standard library, and use
loopback addresses only.
"""
