"""Clients of external services, behind abstract base classes."""
