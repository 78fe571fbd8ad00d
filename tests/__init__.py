"""Tests of toucancourse."""
