"""Counters and log lines for unusable input from the store."""

from __future__ import annotations

import collections

from skylarkfold import deferred_log

# How many distinct errors are logged. Later ones are only counted, so that a
# faulty writer can fill neither the log nor the memory.
MAXIMUM_LOGGED = 256

# Kinds of unusable input, from which the counters are named.
ANSWER = 'answer'
OBJECT = 'object'
DAMAGED = 'damaged'
UPSTREAM = 'upstream'
ROUTE = 'route'
ROUTES = 'routes'
EVACUATION = 'evacuation'

_PREFIX = 'unusable'


class InputErrors:
    """Counts unusable input, and logs each distinct error once.

    A reason must not contain values of the object: they may change with each
    write, and every change would then be logged as another error.

    :ivar counters: totals by kind.
    :ivar write_line: called with the fields of a log line.
    """

    __slots__ = ('_logged', 'counters', 'write_line')

    def __init__(self) -> None:
        self._logged: set[tuple[str, str, str, str]] = set()
        self.counters: collections.Counter[str] = collections.Counter()
        self.write_line = _write_warning

    def report(
        self,
        kind: str,
        name: str,
        revision: int,
        reason: str,
        topic: str = '',
    ) -> None:
        """Count an error, and log it if it is new.

        :param kind: one of this module's kinds.
        :param name: the object's name.
        :param revision: the object's revision in the store; 0 if unknown.
        :param reason: what is wrong with the object.
        :param topic: the topic of the object, if the kind doesn't tell it.
        """
        self.counters[f'{_PREFIX}.{kind}'] += 1
        key = (kind, topic, name, reason)
        is_logged = key in self._logged
        if is_logged or len(self._logged) >= MAXIMUM_LOGGED:
            return
        self._logged.add(key)
        fields: dict[str, object] = {
            'reason': 'unusable-object',
            'kind': kind,
            'name': name,
            'revision': revision,
            'error': reason,
        }
        if topic:
            fields['topic'] = topic
        self.write_line(fields)


def _write_warning(fields: dict[str, object]) -> None:
    deferred_log.LOGGER.warning('object', fields=fields)
