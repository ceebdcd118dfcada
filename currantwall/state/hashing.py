"""Hashes whose values are the same in every process."""

import xxhash

__all__ = ["hash_fields_hex", "hash_text", "hash_text_hex"]


def hash_text(text: str) -> int:
    """Return a 64-bit hash."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hash_text_hex(text: str) -> str:
    """Return a 128-bit hash as 32 hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(text.encode())


def hash_fields_hex(*fields: bytes | bytearray | memoryview) -> str:
    """Return a 64-bit hash of several fields as 16 hexadecimal digits."""
    hasher = xxhash.xxh3_64()
    for field in fields:
        hasher.update(len(field).to_bytes(8, "big"))
        hasher.update(field)
    return hasher.hexdigest()
