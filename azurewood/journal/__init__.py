"""Appends to and reads from the topics of the platform's store."""
