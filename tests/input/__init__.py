"""Tests of what strangers send to a daemon."""
