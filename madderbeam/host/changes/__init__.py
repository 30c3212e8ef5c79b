"""Configuration changes in a running courier: reads, applies, observes and persists them."""
