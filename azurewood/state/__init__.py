"""The daemon's reducer: its events, its effects and its state."""
