"""HTTP reverse proxy that routes requests to model server endpoints."""
