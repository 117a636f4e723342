"""Benchmarks that check results against the project's stated targets."""
