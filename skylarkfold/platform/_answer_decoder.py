"""Decodes the store's answers into objects of the relay."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from skylarkfold import errors
from skylarkfold.platform import _answer_parser
from skylarkfold.platform import _fields
from skylarkfold.platform import _input_errors
from skylarkfold.platform import _objects
from skylarkfold import relay
from skylarkfold import revision as revisions

# The largest encoded value accepted in a topic. Each instance holds about
# 3,800 entries of upstreams, usually of 200 bytes.
_MAX_VALUE_BYTES = {_objects.UPSTREAMS_TOPIC: 16 * 1024}
# Values measured together; usually they take half of the limit for one.
_CHECK_BATCH_ITEMS = 32
# Of an answer to a watch with a damaged event only the first event is used,
# and the rest is asked for again. With more events before the damaged one,
# listing all objects is cheaper.
_MAX_EVENTS_BEFORE_DAMAGE = 16


class AnswerDecoder:
    """Decodes the objects of an answer, and skips unusable ones.

    :param call: the call that is answered.
    :param input_errors: records unusable objects.
    :param era: the store's era when it answered.
    """

    __slots__ = ('_call', '_era', '_input_errors', '_unusable_value')

    def __init__(
        self,
        call: relay.Call,
        input_errors: _input_errors.InputErrors,
        era: int,
    ) -> None:
        self._call = call
        self._era = era
        self._input_errors = input_errors
        # An unusable value becomes an empty one, which later decoding
        # rejects. An empty evacuation would be valid, so it is deleted.
        is_identified_by_name = call.topic == _objects.EVACUATIONS_TOPIC
        self._unusable_value: dict[str, object] | None = (
            None if is_identified_by_name else {}
        )

    def read(self, parsed: _answer_parser.ParsedAnswer) -> relay.Answer:
        """Decode an answer.

        :param parsed: the parsed answer.
        :returns: the answer.
        :raises DecodeError: if it is neither a listing nor a list of events,
            or the objects can't be told apart.
        """
        fields = _fields.Fields(parsed.members)
        revision = self._read_revision(fields, 'current_rev')
        is_watch = fields.has(_answer_parser.EVENTS)
        name = _answer_parser.EVENTS if is_watch else _answer_parser.ITEMS
        values = fields.get_list(name)
        if parsed.damaged is not None:
            if is_watch != (self._call.revision is not None):
                raise errors.DecodeError('a damaged answer to another call')
            read = self._read_damaged_page
            if is_watch:
                read = self._read_damaged_watch
            return read(values, parsed.damaged, revision)
        if is_watch:
            items = self._read_all(values, self._read_event)
            return relay.Answer(relay.Status.OK, items, revision)
        items = self._read_all(values, self._read_object)
        first = _list_names(values[:1])
        if not fields.is_set('truncated'):
            return self._build_page(items, revision, first)
        last = _list_names(values)[-1:]
        return self._build_page(items, revision, first, last)

    def _read_damaged_watch(
        self,
        values: list[object],
        damaged: dict[str, object],
        revision: revisions.Revision,
    ) -> relay.Answer:
        """Decode an answer to a watch in which an event is not valid JSON.

        Only where the first event begins is certain. Its revision becomes
        that of the answer, and the next watch returns the events after it.
        """
        if len(values) > _MAX_EVENTS_BEFORE_DAMAGE:
            raise errors.DecodeError('an event is not valid JSON')
        if values:
            item = self._read_event(_fields.Fields(values[0]))
            self._clear_unsendable_value(item)
        else:
            item = self._read_damaged(damaged)
        if not self._call.revision < item.revision <= revision:
            raise errors.DecodeError('the revision of an event is not valid')
        # An event of the store's own revision is the last one.
        is_truncated = item.revision < revision
        return relay.Answer(
            relay.Status.OK, [item], item.revision, is_truncated
        )

    def _read_damaged_page(
        self,
        values: list[object],
        damaged: dict[str, object],
        revision: revisions.Revision,
    ) -> relay.Answer:
        """Decode a page in which an object is not valid JSON.

        Only where the first object begins is certain, so a damaged object is
        skipped only there: the next page begins with it, or after it.
        """
        damaged_names = _list_names([damaged])
        if not values:
            items = self._read_all([damaged], self._read_damaged_fields)
            return self._build_page(
                items, revision, damaged_names, damaged_names
            )
        names = _list_names(values)
        in_order = [*names, *damaged_names]
        is_plausible = (
            len(in_order) == len(values) + 1
            and self._call.after < in_order[0]
            and all(map(_is_before, in_order, in_order[1:]))
        )
        if self._call.is_cautious or not is_plausible:
            # The damaged object may look like several.
            values, damaged_names = values[:1], []
            names = _list_names(values)
        items = self._read_all(values, self._read_object)
        page = self._build_page(items, revision, names[:1], names[-1:])
        page.next_path = damaged_names[0] if damaged_names else ''
        return page

    def _build_page(
        self,
        items: list[relay.Item],
        revision: revisions.Revision,
        first: list[str],
        last: list[str] | None = None,
    ) -> relay.Answer:
        """Build the answer for a page.

        :param items: the usable objects.
        :param revision: the store's revision.
        :param first: the name of the first object; empty if it has none.
        :param last: the name of the last object; None if this page is the
            last one.
        """
        if last is not None and last in ([], [self._call.after]):
            # The start of the next page is unknown, and using this page
            # would delete the objects after it.
            raise errors.DecodeError('truncated page without a new name')
        return relay.Answer(
            relay.Status.OK,
            items,
            revision,
            is_truncated=last is not None,
            first_path=first[0] if first else '',
            last_path=last[0] if last else '',
        )

    def _read_all(
        self,
        values: Iterable[object],
        read: Callable[[_fields.Fields], relay.Item],
    ) -> list[relay.Item]:
        items = []
        for value in values:
            try:
                item = read(_fields.Fields(value))
            except errors.DecodeError as error:
                self._input_errors.report(
                    _input_errors.OBJECT,
                    self._call.topic,
                    0,
                    error.reason,
                    self._call.topic,
                )
                continue
            items.append(item)
        for begin in range(0, len(items), _CHECK_BATCH_ITEMS):
            self._clear_unsendable_values(
                items[begin : begin + _CHECK_BATCH_ITEMS]
            )
        return items

    def _clear_unsendable_values(self, items: list[relay.Item]) -> None:
        """Replace values that can't be sent to peers.

        :param items: some objects. They are measured one by one only if
            together they exceed the limit for one value.
        """
        values = [each.value for each in items if each.value is not None]
        try:
            size = relay.measure_values(values)
            if size <= _MAX_VALUE_BYTES.get(self._call.topic, size):
                return
        except errors.DecodeError:
            # Find the offending objects below.
            pass
        for item in items:
            self._clear_unsendable_value(item)

    def _clear_unsendable_value(self, item: relay.Item) -> None:
        """Replace a value that can't be sent to peers.

        :param item: the object.
        """
        if item.value is None:
            return
        try:
            size = relay.measure_values([item.value])
            if size <= _MAX_VALUE_BYTES.get(self._call.topic, size):
                return
            reason = 'the value is too large'
        except errors.DecodeError as error:
            reason = error.reason
        item.value = self._unusable_value
        self._report(item, reason)

    def _read_event(self, fields: _fields.Fields) -> relay.Item:
        item = self._read_object(fields.get_fields('object'))
        if fields.get_flag('deleted'):
            item.value = None
        return item

    def _read_damaged(self, damaged: dict[str, object]) -> relay.Item:
        """Decode the name and revision of an object that is damaged."""
        fields = _fields.Fields(damaged)
        return self._read_damaged_fields(fields)

    def _read_damaged_fields(self, fields: _fields.Fields) -> relay.Item:
        is_deleted = fields.has('deleted') and fields.get_flag('deleted')
        value = None if is_deleted else self._unusable_value
        item = self._read_meta(fields, value)
        self._input_errors.report(
            _input_errors.DAMAGED,
            item.path,
            item.revision.number,
            'the object is not valid JSON',
            self._call.topic,
        )
        return item

    def _read_object(self, fields: _fields.Fields) -> relay.Item:
        value = fields.get_map('spec')
        item = self._read_meta(fields, value)
        if value is None:
            item.value = self._unusable_value
            self._report(item, 'spec: a map is wanted')
        return item

    def _read_meta(
        self, fields: _fields.Fields, value: dict[str, object] | None
    ) -> relay.Item:
        meta = fields.get_fields('meta')
        name = meta.get_text('name')
        if not name.isprintable():
            raise errors.DecodeError('name: expected printable text')
        revision = self._read_revision(meta, 'rev')
        created = self._read_revision(meta, 'create_rev')
        return relay.Item(name, revision, created, value)

    def _read_revision(
        self, fields: _fields.Fields, name: str
    ) -> revisions.Revision:
        number = fields.get_integer(name, 0, revisions.MAXIMUM_NUMBER)
        return revisions.Revision(number, self._era)

    def _report(self, item: relay.Item, reason: str) -> None:
        self._input_errors.report(
            _input_errors.OBJECT,
            item.path,
            item.revision.number,
            reason,
            self._call.topic,
        )


def _list_names(values: Iterable[object]) -> list[str]:
    """List the names of objects, also of unusable ones.

    :param values: the objects; those without a name are left out.
    :returns: the names in the same order.
    """
    names = []
    for value in values:
        meta = value.get('meta') if isinstance(value, dict) else None
        name = meta.get('name') if isinstance(meta, dict) else None
        if isinstance(name, str) and name:
            names.append(name)
    return names


def _is_before(name: str, other: str) -> bool:
    return name < other
