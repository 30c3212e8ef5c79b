"""The federation in the host: connects its state machines to admission, journal, endpoints and engine."""
