"""Routing of requests to versions and endpoints."""
