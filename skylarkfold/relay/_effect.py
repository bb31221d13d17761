"""What the relay asks of its surroundings."""

from __future__ import annotations

from skylarkfold.relay import _call


class CallStore:
    """Call the platform's store; the answer comes back with the call."""

    __slots__ = ('call',)

    def __init__(self, call: _call.Call) -> None:
        self.call = call


class Changed:
    """The objects of a topic have changed.

    :param topic: the topic.
    :param revision: up to which revision they are known now.
    """

    __slots__ = ('revision', 'topic')

    def __init__(self, topic: str, revision: int) -> None:
        self.topic = topic
        self.revision = revision


class Confirmed:
    """The objects of a topic were the store's newest just now.

    :param topic: the topic.
    """

    __slots__ = ('topic',)

    def __init__(self, topic: str) -> None:
        self.topic = topic


class Stale:
    """An answer was older than what is known, and was ignored.

    :param topic: the topic.
    :param revision: the answer's.
    """

    __slots__ = ('revision', 'topic')

    def __init__(self, topic: str, revision: int) -> None:
        self.topic = topic
        self.revision = revision
