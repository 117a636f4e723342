"""The daemons: they connect the packages to threads, calls and servers."""
