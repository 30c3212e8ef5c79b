"""Serving leases: the voters grant a member leases, and it serves only while it holds one."""
