"""Networks of callers, and values by network."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkfold import errors

_OCTETS = 4
_ADDRESS_BITS = 32
_MAX_OCTET = 255


class Network:
    """A network of IPv4 addresses.

    :param base: its first address as a number.
    :param length: the prefix length in bits.
    """

    __slots__ = ('base', 'length')

    def __init__(self, base: int, length: int) -> None:
        self.base = base
        self.length = length

    @classmethod
    def parse(cls, text: str) -> 'Network':
        """Parse a network, or a single address.

        :param text: for example ``192.0.2.0/24`` or ``192.0.2.7``.
        :returns: the network.
        :raises SettingsError: if it is malformed, or has bits set beyond its
            prefix.
        """
        host, has_length, bits = text.partition('/')
        if not has_length:
            bits = str(_ADDRESS_BITS)
        if not _is_number(bits, _ADDRESS_BITS):
            raise errors.SettingsError(f'{bits!a} is not a prefix length')
        octets = host.split('.')
        is_address = len(octets) == _OCTETS and all(
            _is_number(each, _MAX_OCTET) for each in octets
        )
        if not is_address:
            raise errors.SettingsError(f'{host!a} is not an IPv4 address')
        base = int.from_bytes(bytes(int(each) for each in octets), 'big')
        length = int(bits)
        if base & ((1 << (_ADDRESS_BITS - length)) - 1):
            raise errors.SettingsError(
                'network has bits set beyond its prefix'
            )
        return cls(base, length)

    def has(self, address: int) -> bool:
        """Tell whether an address is in this network.

        :param address: the address as a number.
        :returns: whether it is.
        """
        return (address ^ self.base) >> (_ADDRESS_BITS - self.length) == 0


class NetworkTable:
    """Values by network; the smallest network of a caller decides.

    :param entries: the networks, each once, with their values.
    """

    __slots__ = ('_entries',)

    def __init__(self, entries: Iterable[tuple[Network, float]]) -> None:
        self._entries = sorted(entries, key=lambda each: -each[0].length)

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, caller: bytes) -> float | None:
        """Find the value of a caller.

        :param caller: its packed address.
        :returns: the value; None if the caller is in no network.
        """
        if not self._entries:
            return None
        address = int.from_bytes(caller, 'big')
        for network, value in self._entries:
            if network.has(address):
                return value
        return None


def _is_number(text: str, maximum: int) -> bool:
    is_plain = text.isascii() and text.isdecimal() and len(text) <= 3
    # Some parsers read numbers with a leading zero as octal.
    return is_plain and str(int(text)) == text and int(text) <= maximum
