"""Which backend server gets a call, how many it gets, and when one is refused."""
