"""What was found in the store that can't be used."""

from __future__ import annotations

import collections

from skylarkfold import deferred_log

# Different complaints that get a line; all later ones are only counted, so
# that a writer who leaves new ones for ever fills neither log nor memory.
MOST_REMEMBERED = 256

# What is complained of; the counters are named after these.
ANSWER = 'answer'
OBJECT = 'object'
UPSTREAM = 'upstream'
ROUTE = 'route'
ROUTES = 'routes'
EVACUATION = 'evacuation'

_PREFIX = 'unusable'


class Complaints:
    """Counts what can't be used, and says each reason once.

    An object may change with every beat of its writer: its reason holds no
    value of it, so that it is the same each time.

    :ivar counters: totals by kind.
    :ivar say: takes the fields of a line.
    """

    __slots__ = ('_said', 'counters', 'say')

    def __init__(self) -> None:
        self._said: set[tuple[str, str, str]] = set()
        self.counters: collections.Counter[str] = collections.Counter()
        self.say = _log

    def note(self, kind: str, name: str, revision: int, reason: str) -> None:
        """Note something that can't be used.

        :param kind: what it is, one of this module's.
        :param name: the object's name.
        :param revision: the store's revision of it, 0 if that is unknown.
        :param reason: what is wrong with it.
        """
        self.counters[f'{_PREFIX}.{kind}'] += 1
        complaint = (kind, name, reason)
        is_said = complaint in self._said
        if is_said or len(self._said) >= MOST_REMEMBERED:
            return
        self._said.add(complaint)
        self.say(
            {
                'reason': 'unusable-object',
                'kind': kind,
                'name': name,
                'revision': revision,
                'error': reason,
            }
        )


def _log(fields: dict[str, object]) -> None:
    deferred_log.LOGGER.warning('object', fields=fields)
