"""Routing: selects the pool of a message, and orders the pool's servers by preference; does no I/O."""
