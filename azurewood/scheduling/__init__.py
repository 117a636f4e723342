"""The leader's work: which task runs on which host, and machine upkeep."""
