"""Parses the text of the store's answers, object by object.

An answer contains objects of other writers, whose text need not be valid
JSON. Where an object that is not valid JSON ends can't be told from its text:
it may hold anything that looks like the end of the object, another object or
the end of the answer. Only what the store wrote before such an object, and
the end of the answer, are therefore used; the caller asks the store again for
what follows the object.
"""

from __future__ import annotations

from skylarkfold import light_imports

# The members of an answer that hold its objects.
EVENTS = 'events'
ITEMS = 'items'
_ARRAYS = (EVENTS, ITEMS)
# The member of an event that holds its object.
_OBJECT = 'object'

_WHITESPACE = ' \t\n\r'
# Names that the store writes once per answer and once per object.
_ONCE_PER_ANSWER = '"current_rev"'
_ONCE_PER_OBJECT = '"meta"'

# Matches strings, which may contain brackets, and single brackets.
_NESTING_TOKENS = r'"(?:[^"\\]|\\.)*"|[\[\]{}]'
_OPENING = ('[', '{')
_CLOSING = (']', '}')
# Deeper values are replaced by null. Valid answers have four levels; the JSON
# parser fails at about a thousand.
_MAX_DEPTH = 64


class ParsedAnswer:
    """The members of an answer.

    :param members: the members by name. The array of objects ends before a
        damaged object.
    :param damaged: None if all objects are valid JSON; otherwise the members
        of the first one that is not, as far as they can be read. Members of
        an event and of its object are in the same dictionary.
    """

    __slots__ = ('damaged', 'members')

    def __init__(
        self,
        members: dict[str, object],
        damaged: dict[str, object] | None = None,
    ) -> None:
        self.members = members
        self.damaged = damaged


def parse(body: bytes) -> ParsedAnswer:
    """Parse an answer.

    :param body: the body of the response.
    :returns: its members.
    :raises ValueError: if it can't be read at all.
    :raises RecursionError: if a member other than the objects is nested too
        deeply.
    """
    # Invalid UTF-8 becomes lone surrogates, so that only the objects that
    # contain them are unusable.
    text = body.decode('utf-8', 'surrogateescape')
    try:
        members = light_imports.parse_lenient_json(text)
    except (ValueError, RecursionError):
        return _parse_objects(text)
    if not isinstance(members, dict):
        raise ValueError('the answer is not a JSON object')
    if _has_repeated_members(text, members):
        return _parse_objects(text)
    return ParsedAnswer(members)


def _has_repeated_members(text: str, members: dict[str, object]) -> bool:
    """Return whether the members of an answer or object may be repeated.

    Of members with the same name the parser keeps the last, which may stem
    from the value of an object. Other objects with such members are rare, and
    are parsed the slow way for nothing.
    """
    count = sum(
        len(members[name])
        for name in _ARRAYS
        if isinstance(members.get(name), list)
    )
    is_repeated = text.count(_ONCE_PER_OBJECT) > count
    return is_repeated or text.count(_ONCE_PER_ANSWER) > 1


def _parse_objects(text: str) -> ParsedAnswer:
    parser = _ObjectParser(text)
    try:
        parser.parse()
    except (ValueError, RecursionError):
        return parser.end_before_damage()
    return ParsedAnswer(parser.members)


class _ObjectParser:
    """Parses an answer whose objects may be invalid JSON.

    :param text: the text of the answer.
    :ivar members: the members that were parsed.
    """

    __slots__ = (
        '_begins',
        '_objects',
        '_position',
        '_text',
        '_truncated',
        'members',
    )

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0
        # The number of the first object with nesting that was truncated.
        self._truncated: int | None = None
        self.members: dict[str, object] = {}
        self._objects: list[object] = []
        # Where the objects begin, that which is being parsed included.
        self._begins: list[int] = []

    def parse(self) -> None:
        """Parse the answer.

        :raises ValueError: at the first text that is not valid JSON.
        :raises RecursionError: at the first value, other than an object, that
            is nested too deeply.
        """
        self._expect('{')
        while True:
            name = self._read_name()
            if name in self.members:
                raise ValueError('a member of the answer is repeated')
            if name in _ARRAYS and self._peek() == '[' and not self._begins:
                self.members[name] = self._objects
                self._read_objects()
            else:
                self.members[name] = self._read_value()
            if self._peek() != ',':
                break
            self._expect(',')
        self._expect('}')
        if self._peek():
            raise ValueError('extra data after the answer')

    def end_before_damage(self) -> ParsedAnswer:
        """End the answer before the object with the invalid JSON.

        What follows it may still be part of it, up to the text that ends the
        answer.

        :returns: the answer.
        :raises ValueError: if there is no object.
        """
        if not self._begins:
            raise ValueError('the answer has no objects')
        number = len(self._begins) - 1
        if self._truncated is not None:
            # Truncation checks only the brackets, so that the end of the
            # object may be wrong.
            number = self._truncated
        begin = self._begins[number]
        del self._objects[number:]
        self._keep_only_objects()
        self.members.update(_read_end(self._text))
        return ParsedAnswer(self.members, self._read_damaged(begin))

    def _keep_only_objects(self) -> None:
        """Drop the members after the objects.

        They may be part of the damaged object.
        """
        names = list(self.members)
        for name in reversed(names):
            if self.members[name] is self._objects:
                break
            del self.members[name]

    def _read_objects(self) -> None:
        self._expect('[')
        if self._peek() == ']':
            self._expect(']')
            return
        while True:
            self._peek()
            self._begins.append(self._position)
            self._objects.append(self._read_object())
            if self._peek() != ',':
                break
            self._expect(',')
        self._expect(']')

    def _read_object(self) -> object:
        begin = self._position
        try:
            value = self._read_value()
        except RecursionError:
            text, self._position = _truncate_nesting(self._text, begin)
            if self._truncated is None:
                self._truncated = len(self._begins) - 1
            return light_imports.parse_lenient_json(text)
        if self._text.count(_ONCE_PER_OBJECT, begin, self._position) > 1:
            value, _ = light_imports.scan_untrusted_json(self._text, begin)
        return value

    def _read_damaged(self, begin: int) -> dict[str, object]:
        """Read the members of an object up to the invalid JSON."""
        members: dict[str, object] = {}
        self._position = begin
        try:
            self._expect('{')
            while True:
                name = self._read_name()
                if name == _OBJECT and name not in members:
                    members[name] = None
                    self._expect('{')
                    continue
                members.setdefault(name, self._read_value())
                self._expect(',')
        except (ValueError, RecursionError):
            return members

    def _peek(self) -> str:
        """Skip whitespace and return the next character, '' at the end."""
        text = self._text
        position = self._position
        while position < len(text) and text[position] in _WHITESPACE:
            position += 1
        self._position = position
        return text[position : position + 1]

    def _expect(self, character: str) -> None:
        if self._peek() != character:
            raise ValueError(f'expected {character}')
        self._position += 1

    def _read_name(self) -> str:
        name = self._read_value()
        if not isinstance(name, str):
            raise ValueError('the name of a member is not a string')
        self._expect(':')
        return name

    def _read_value(self) -> object:
        self._peek()
        value, self._position = light_imports.scan_json(
            self._text, self._position
        )
        return value


def _read_end(text: str) -> dict[str, object]:
    """Read the members after the objects from the end of an answer.

    The store writes the bracket that closes the array of objects after the
    last object, and no bracket after it. No object can hold the last one.

    :param text: the text of the answer.
    :returns: the members; empty if the end can't be read.
    """
    rest = text[text.rfind(']') + 1 :]
    try:
        members = light_imports.parse_lenient_json('{"":0' + rest)
    except ValueError:
        return {}
    del members['']
    return members


def _truncate_nesting(text: str, begin: int) -> tuple[str, int]:
    """Replace the parts of an object that are nested too deeply with null.

    :param text: a text that contains the object.
    :param begin: where the object begins.
    :returns: the object's text, which the parser can read, and the position
        after the object.
    :raises ValueError: if the object has no end.
    """
    # Imported only if needed, to keep the start fast.
    import re

    parts = []
    depth = 0
    for match in re.compile(_NESTING_TOKENS).finditer(text, begin):
        token = match.group()
        if token in _OPENING:
            depth += 1
            if depth == _MAX_DEPTH:
                parts += (text[begin : match.start()], 'null')
        elif token in _CLOSING:
            if depth == _MAX_DEPTH:
                begin = match.end()
            depth -= 1
            if not depth:
                return ''.join(
                    (*parts, text[begin : match.end()])
                ), match.end()
    raise ValueError('an object has no end')
