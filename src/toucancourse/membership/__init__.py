"""Instances, peers and proof of fresh configuration."""
