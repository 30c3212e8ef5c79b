"""A subset of the Kafka protocol: codec and connection state with no I/O, and a front that hands messages
in."""
