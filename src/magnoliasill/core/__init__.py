"""A daemon's state, its events, actions and peer messages, and the event dispatcher."""
