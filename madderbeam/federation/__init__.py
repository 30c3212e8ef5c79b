"""The ownership table of a federation: how sites agree on it and switch to it. Decisions without I/O."""
