"""HTTP server for callers that passes raw requests and responses."""
