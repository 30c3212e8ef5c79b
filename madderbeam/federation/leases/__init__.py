"""Leases by which a member serves, granted by the voters."""
