"""Settings of the daemons, and their flags and environment variables."""
