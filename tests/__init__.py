"""Tests, grouped by feature."""
