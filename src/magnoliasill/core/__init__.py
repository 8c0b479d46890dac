"""Tables, events, actions and messages, and the engine that runs the systems over them."""
