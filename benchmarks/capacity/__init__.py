"""Measure how the cost of each role grows with size, on one machine."""
