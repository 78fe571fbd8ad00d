"""A model-aware request router with model versions and cascades."""
