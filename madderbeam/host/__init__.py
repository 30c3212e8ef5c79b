"""The host: connects the delivery engine with transports, journal and the process's signals."""
