"""Transactional changes of a courier's configuration, free of I/O (docs/design/changes.md)."""
