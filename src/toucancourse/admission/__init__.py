"""Admission control: limits on the requests that are started."""
