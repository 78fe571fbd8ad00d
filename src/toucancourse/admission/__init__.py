"""Limits on what is started."""
