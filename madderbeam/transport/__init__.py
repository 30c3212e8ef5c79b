"""Sockets: bytes into events, actions into bytes. No decisions here."""
