"""Callers' jobs: their descriptions, stored records and states."""
