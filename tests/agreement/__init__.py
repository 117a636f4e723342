"""The agreed state under failure, without sockets and with processes."""
