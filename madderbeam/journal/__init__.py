"""The journal: the durable record of accepted messages, and the tools that read it."""
