"""Delivery of requests to endpoints and of responses to callers."""
