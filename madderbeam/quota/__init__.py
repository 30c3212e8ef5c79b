"""Nested quotas: who may send how much per second and per hour, with borrowing. No I/O."""
