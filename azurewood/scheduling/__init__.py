"""Scheduling by the leader: task placement and machine maintenance."""
