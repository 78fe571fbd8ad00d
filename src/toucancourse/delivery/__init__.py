"""Requests from caller to endpoint and answers back."""
