"""Stands in for the library of this name where it can't be installed: the one function that is used."""

POLYNOMIAL = 0x82F63B78  # CRC-32C, RFC 3720


def _table() -> list[int]:
    table = list(range(256))
    for _ in range(8):
        table = [crc >> 1 ^ (POLYNOMIAL if crc & 1 else 0) for crc in table]
    return table


TABLE = _table()


def value(data: bytes) -> int:
    """Return the Castagnoli checksum of the data."""
    crc = 0xFFFFFFFF
    for byte in data:
        crc = crc >> 8 ^ TABLE[(crc ^ byte) & 0xFF]
    return crc ^ 0xFFFFFFFF
