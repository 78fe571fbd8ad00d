"""Measurements on real processes."""
