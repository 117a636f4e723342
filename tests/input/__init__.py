"""Tests of untrusted input to an entry daemon, its startup and its stop."""
