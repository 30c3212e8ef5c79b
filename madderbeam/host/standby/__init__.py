"""Replication in a courier process: the primary's component, and the standby's process."""
