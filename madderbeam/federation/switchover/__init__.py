"""Switching to an agreed table: what this member serves and releases, and what is in force elsewhere."""
