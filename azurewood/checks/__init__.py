"""Framework of checks that return findings."""
