"""Fakes of external systems for demos and benchmarks."""
