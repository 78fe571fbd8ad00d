"""Callers' requests and answers as they are on the wire."""
