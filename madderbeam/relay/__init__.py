"""Relayed streams: reliable transfer of publications to other sites, with custody there. Decisions without
I/O."""
