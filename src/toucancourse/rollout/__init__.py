"""Placement of versions on engines and supervision of staged roll-outs."""
