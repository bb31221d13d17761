"""Typed access to the fields of stored objects.

Validation libraries are not used because of their import time: ``msgspec``
takes 0.047 s of processor time, half of an instance's whole start.
"""

from __future__ import annotations


from skylarkfold import errors
from skylarkfold import light_imports

_MAX_PORT = 65535
_DIGITS = frozenset('0123456789')


class Fields:
    """The fields of one object.

    Error messages contain no values, so that an object with the same error
    after each write is logged only once.

    :param values: the decoded JSON of the object.
    :raises DecodeError: if it is not a JSON object.
    """

    __slots__ = ('_values',)

    def __init__(self, values: object) -> None:
        if not isinstance(values, dict):
            raise errors.DecodeError('expected an object')
        self._values = values

    def has(self, name: str) -> bool:
        """Return whether a field is present.

        :param name: the field's name.
        :returns: whether it is present, whatever its value.
        """
        return name in self._values

    def is_set(self, name: str) -> bool:
        """Return whether a field has a truthy value.

        :param name: the field's name.
        :returns: whether it is present and not empty, zero or null.
        """
        return bool(self._values.get(name))

    def get_text(self, name: str) -> str:
        """Return the value of a field that is a non-empty string.

        :param name: the field's name.
        :returns: the string.
        :raises DecodeError: if it is something else.
        """
        value = self._values.get(name)
        if not isinstance(value, str) or not value:
            raise errors.DecodeError(f'{name}: expected a non-empty string')
        return value

    def get_choice(self, name: str, choices: tuple[str, ...]) -> str:
        """Return the value of a field that is one of several strings.

        :param name: the field's name.
        :param choices: the allowed strings.
        :returns: the string.
        :raises DecodeError: if it is something else.
        """
        value = self._values.get(name)
        if not isinstance(value, str) or value not in choices:
            expected = ', '.join(choices)
            raise errors.DecodeError(f'{name}: one of {expected} is required')
        return value

    def get_integer(self, name: str, minimum: int, maximum: int) -> int:
        """Return the value of a field that is an integer.

        :param name: the field's name.
        :param minimum: the least value allowed.
        :param maximum: the greatest value allowed.
        :returns: the number.
        :raises DecodeError: if it is not an integer, or out of range.
        """
        value = self._values.get(name)
        if type(value) is not int or not minimum <= value <= maximum:
            reason = (
                f'{name}: an integer from {minimum} to {maximum} is required'
            )
            raise errors.DecodeError(reason)
        return value

    def get_number(self, name: str, maximum: float) -> float:
        """Return the value of a field that is a number of at least 0.

        :param name: the field's name.
        :param maximum: the greatest value allowed.
        :returns: the number.
        :raises DecodeError: if it is not a finite number, or out of range.
        """
        value = self._values.get(name)
        is_number = type(value) in (int, float) and 0 <= value <= maximum
        if not is_number:
            reason = f'{name}: a number from 0 to {maximum:g} is required'
            raise errors.DecodeError(reason)
        return value

    def get_seconds(self, name: str, maximum: float) -> float:
        """Return the value of a field in milliseconds, converted to seconds.

        :param name: the field's name.
        :param maximum: the greatest value allowed, in milliseconds.
        :returns: seconds.
        :raises DecodeError: as :meth:`get_number` does.
        """
        return self.get_number(name, maximum) / 1000

    def get_flag(self, name: str) -> bool:
        """Return the value of a Boolean field.

        :param name: the field's name.
        :returns: the value.
        :raises DecodeError: if it is not a Boolean.
        """
        value = self._values.get(name)
        if not isinstance(value, bool):
            raise errors.DecodeError(f'{name}: expected true or false')
        return value

    def get_map(self, name: str) -> dict[str, object] | None:
        """Return the value of a field that is an object, as a dictionary.

        :param name: the field's name.
        :returns: the dictionary; None if the value is something else.
        """
        value = self._values.get(name)
        return value if isinstance(value, dict) else None

    def get_list(self, name: str) -> list[object]:
        """Return the value of a field that is a list.

        :param name: the field's name.
        :returns: the list.
        :raises DecodeError: if it is not a list.
        """
        value = self._values.get(name)
        if not isinstance(value, list):
            raise errors.DecodeError(f'{name}: expected a list')
        return value

    def get_fields(self, name: str) -> Fields:
        """Return the value of a field that is an object, as fields.

        :param name: the field's name.
        :returns: the object's fields.
        :raises DecodeError: if it is not an object.
        """
        value = self._values.get(name)
        if not isinstance(value, dict):
            raise errors.DecodeError(f'{name}: expected an object')
        return Fields(value)

    def get_address(self, name: str) -> tuple[str, int]:
        """Return the value of a field of the form ``IPv4-address:port``.

        :param name: the field's name.
        :returns: host and port.
        :raises DecodeError: if it has another form.
        """
        host, _, port = self.get_text(name).rpartition(':')
        check_host(name, host)
        return host, parse_port(name, port)


def check_host(name: str, host: str) -> None:
    """Check that a string is an IPv4 address in dotted-quad form.

    :param name: the field's name.
    :param host: the string.
    :raises DecodeError: if it is not.
    """
    try:
        # Unlike inet_aton, this rejects short and octal forms.
        light_imports.inet_pton(light_imports.AF_INET, host)
    except (OSError, ValueError):
        reason = f'{name}: expected an IPv4 address'
        raise errors.DecodeError(reason) from None


def parse_port(name: str, text: str) -> int:
    """Parse a port.

    :param name: the field's name.
    :param text: the port's decimal digits.
    :returns: the port.
    :raises DecodeError: if it is not a valid port.
    """
    # int() also accepts signs, spaces, underscores and non-ASCII digits.
    is_number = 0 < len(text) <= 5 and _DIGITS.issuperset(text)
    if not is_number or not 0 < int(text) <= _MAX_PORT:
        raise errors.DecodeError(f'{name}: expected a port')
    return int(text)
