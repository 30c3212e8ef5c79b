"""Routing: which pool a message goes to, and its servers in their order of preference. Pure."""
