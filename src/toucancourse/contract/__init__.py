"""Operators' objects and the fold of the configuration stream."""
