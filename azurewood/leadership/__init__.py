"""Which daemon schedules: one leader at a time, named by the store."""
