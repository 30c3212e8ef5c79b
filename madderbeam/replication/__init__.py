"""Replication of a courier's journal to another machine: state machines of primary and standby."""
