"""Tests of the documentation pages and the Makefile."""
