"""A store that sends values as the bytes that were written, valid or not."""

import collections
import heapq
import itertools
import json

from skylarkfold.platform import _input_errors
from skylarkfold.platform import _store
from skylarkfold import relay

ANSWER_SECONDS = 0.004


class RawStore:
    """The objects of one topic, and all its history.

    :param page: how many objects a page has.
    :ivar calls: how many calls were answered.
    """

    def __init__(self, page=500):
        self.page = page
        self.revision = 1
        self.forgotten = 0
        self.calls = 0
        self._objects = {}
        self._history = []

    def put(self, name, value):
        """Write a value, given as bytes or encoded as JSON."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self._objects.get(name, (self.revision,))[0]
        self._objects[name] = (created, self.revision, value)
        self._history.append((name, self._objects[name], False))

    def delete(self, name):
        """Remove an object; its event has its last value."""
        self.revision += 1
        created, _, value = self._objects.pop(name)
        gone = (created, self.revision, value)
        self._history.append((name, gone, True))

    def forget(self):
        """Drop the history."""
        self.forgotten = self.revision

    def list(self, after=''):
        """Return the body of a listing."""
        names = [name for name in sorted(self._objects) if name > after]
        items = [
            encode_object(name, *self._objects[name])
            for name in names[: self.page]
        ]
        return b'{"items":[%s],"truncated":%s,"current_rev":%d}' % (
            b','.join(items),
            b'true' if len(names) > self.page else b'false',
            self.revision,
        )

    def list_events(self, revision):
        """Return the body of an answer to a watch; None if it is forgotten."""
        if revision < self.forgotten:
            return None
        events = [
            b'{"object":%s,"deleted":%s}'
            % (encode_object(name, *entry), b'true' if gone else b'false')
            for name, entry, gone in self._history
            if entry[1] > revision
        ]
        return b'{"events":[%s],"current_rev":%d}' % (
            b','.join(events),
            self.revision,
        )

    def has_events(self, revision):
        """Return whether a watch returns at once."""
        changed = any(entry[1] > revision for _, entry, _ in self._history)
        return changed or revision < self.forgotten


def encode_object(name, created, revision, value):
    """Encode an object around its raw value."""
    meta = {
        'name': name,
        'rev': revision,
        'create_rev': created,
        'finalizers': [],
        'deleting': False,
    }
    return b'{"meta":%s,"spec":%s,"status":null}' % (
        json.dumps(meta).encode(),
        value,
    )


class Replica:
    """One instance's relay of the store, on a virtual clock.

    :param store: the store.
    :param topic: the topic.
    :ivar answers: how often the store's answer had each status.
    """

    def __init__(self, store, topic='servers'):
        self.store = store
        self.now = 0.0
        self.answers = collections.Counter()
        self.input_errors = _input_errors.InputErrors()
        self.lines = []
        self.input_errors.write_line = self.lines.append
        self._topic = topic
        self._queue = []
        self._count = itertools.count()
        settings = relay.RelaySettings(topics=(topic,))
        self.core = relay.RelayCore('a', 'zone', '10.0.0.1', settings)

    def list_items(self):
        """Return the known objects' values by name."""
        return {
            item.path: item.value for item in self.core.list_items(self._topic)
        }

    def run(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self._perform(self.core.tick(self.now))
            while self._queue and self._queue[0][0] <= self.now:
                _, _, call, given_up = heapq.heappop(self._queue)
                self._answer(call, given_up)
            self.now += ANSWER_SECONDS

    def _perform(self, effects):
        for each in effects:
            if isinstance(each, relay.CallStore):
                given_up = self.now + each.call.wait_seconds
                self._plan(each.call, given_up)

    def _plan(self, call, given_up):
        at = self.now + ANSWER_SECONDS
        heapq.heappush(self._queue, (at, next(self._count), call, given_up))

    def _answer(self, call, given_up):
        store = self.store
        if call.revision is None:
            body = store.list(call.after)
        elif store.has_events(call.revision) or self.now >= given_up:
            body = store.list_events(call.revision)
        else:
            self._plan(call, given_up)
            return
        store.calls += 1
        status = 410 if body is None else 200
        answer = _store._decode(call, status, body, self.input_errors)
        self.answers[answer.status] += 1
        self._perform(self.core.handle_answer(self.now, call, answer))
