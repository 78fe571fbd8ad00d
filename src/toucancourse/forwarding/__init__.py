"""Forwarding of raw HTTP requests to endpoints that the router chooses."""
