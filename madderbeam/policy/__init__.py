"""The delivery engine: a state machine that takes events with a time and returns actions. It does no I/O."""
