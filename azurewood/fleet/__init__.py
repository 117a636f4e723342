"""The configuration that operators publish."""
