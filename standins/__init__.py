"""Small stand-ins for the platform, the workers and the callers."""
