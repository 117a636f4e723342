"""The reducer, its events, effects and state."""
