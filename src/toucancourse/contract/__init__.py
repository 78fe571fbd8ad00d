"""Operator-defined objects and the state machine that replays them."""
