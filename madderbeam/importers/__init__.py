"""Importers: what other programs' configurations say, as an estate in the tool's own form."""
