"""The daemon program: entry, sidecar and platform node."""
