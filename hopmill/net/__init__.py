"""The real courier around the decision module: sockets, journal and clock. No decisions here."""
