"""Lets `python -m toucancourse.daemon` run the daemon."""

from .main import main

main()
