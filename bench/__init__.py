"""Benchmarks and fault-injection runs on real processes."""
