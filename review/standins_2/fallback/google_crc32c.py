"""CRC-32C in plain Python, for the courier's Kafka front where the library of that name is not installed."""

_TABLE = []
for _n in range(256):
    for _ in range(8):
        _n = (_n >> 1) ^ (0x82F63B78 if _n & 1 else 0)
    _TABLE.append(_n)


def value(data: bytes) -> int:
    """Return the checksum of these bytes."""
    crc = 0xFFFFFFFF
    for byte in data:
        crc = _TABLE[(crc ^ byte) & 0xFF] ^ (crc >> 8)
    return crc ^ 0xFFFFFFFF
