"""Caller stand-in: a load generator limited in calls and duration."""
