"""Benchmarks with bounds taken from the stated targets."""
