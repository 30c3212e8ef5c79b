"""The switch to an agreed table: what is served here, released, and in force elsewhere."""
