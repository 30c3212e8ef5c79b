"""Nested quotas with borrowing: decisions alone, no I/O; time comes in with each call."""
