"""Stand-ins for what is outside: partners."""
