"""Runs the daemon for `python -m toucancourse.daemon`."""

from .main import main

main()
