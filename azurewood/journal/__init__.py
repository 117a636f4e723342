"""Writing to the platform's store so that each outcome becomes known."""
