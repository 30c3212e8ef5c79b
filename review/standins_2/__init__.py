"""Stand-ins of the second review: partners, discovery, clients, and the courier as a separate process."""
