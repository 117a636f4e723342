"""The fleet configuration that operators publish."""
