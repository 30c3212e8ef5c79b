"""Sidecars of one estate: kept running, changed, shown."""
