"""Messages between entry daemons."""
