"""Leader election: the store's log decides which daemon schedules."""
