"""Runs the benchmarks of `make bench` one after another."""

from . import claims, relay

relay.main()
claims.main()
