"""Bitmaps with one bit for each chunk, in the order of the manifest."""

import base64


class Bitmap:
    """A set of chunk indexes.

    :param data: the bits; index 0 is the highest bit of the first byte.
    """

    def __init__(self, data=b""):
        self._data = data

    @classmethod
    def from_flags(cls, flags):
        """Return the bitmap with a bit for each of `flags`."""
        bits = "".join("1" if flag else "0" for flag in flags)
        size_bytes = (len(bits) + 7) // 8
        padded = bits.ljust(size_bytes * 8, "0") or "0"
        return cls(int(padded, 2).to_bytes(size_bytes, "big"))

    @classmethod
    def from_text(cls, text):
        """Return the bitmap that ``str`` encoded as `text`.

        Malformed text gives an empty bitmap.
        """
        try:
            return cls(base64.b64decode(text, validate=True))
        except ValueError:
            return cls()

    def __contains__(self, index):
        byte = index >> 3
        return byte < len(self._data) and bool(self._data[byte] >> (7 - index % 8) & 1)

    def __bytes__(self):
        return self._data

    def __str__(self):
        return base64.b64encode(self._data).decode()
