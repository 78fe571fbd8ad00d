"""The gRPC protocol between entries and sidecars."""
