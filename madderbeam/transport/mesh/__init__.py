"""How members reach each other: datagrams, links and exchanges.

Bytes become events, and rows become bytes.
"""
