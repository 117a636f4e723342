"""Check framework that returns findings."""
