"""Small stand-ins for clients, endpoints and the platform, shared by the cases of the review."""
