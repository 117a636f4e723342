"""The callers' stand-in: a load generator bounded in count and time."""
