"""Which of two forms of an object is the later one, by what they say.

Asked where the platform's store has come back from an older copy: the order
in which it was written to tells nothing then.
"""

from __future__ import annotations

from skylarkfold.forwarder import _platform
from skylarkfold.forwarder import _settings
from skylarkfold import relay


class Precedence:
    """Compares what was known with what the store has now.

    :param platform: reads the objects.
    :param own: how long each may take to be written again.
    """

    __slots__ = ('_comparers', '_entry_seconds', '_platform', '_relay')

    def __init__(
        self, platform: _platform.Platform, own: _settings.ForwarderSettings
    ) -> None:
        self._platform = platform
        self._relay = own.relay
        self._entry_seconds = own.affinity.entry_seconds
        self._comparers = {
            platform.routes_topic: self._compare_routes,
            platform.upstreams_topic: self._compare_upstreams,
        }

    def compute_retention_seconds(
        self,
        topic: str,
        former: relay.Item,
        current: relay.Item,
        is_fresh: bool,
    ) -> float:
        """Compute how long a form of a former era may stand for another.

        :param topic: their topic.
        :param former: what was known before the store came back.
        :param current: what the store has now.
        :param is_fresh: whether that was written since, for certain.
        :returns: seconds; 0 where the store's form is as late.
        """
        compare = self._comparers.get(topic)
        if compare is None:
            return 0.0
        return compare(former, current, is_fresh)

    def _compare_routes(
        self, former: relay.Item, current: relay.Item, _is_fresh: bool
    ) -> float:
        # Also of what was written since: an operator may write again all
        # that was lost, one version after the other.
        known = self._platform.read_version(former)
        if known is None:
            return 0.0
        version = self._platform.read_version(current)
        if version is not None and version >= known:
            return 0.0
        return self._relay.lasting_seconds

    def _compare_upstreams(
        self, former: relay.Item, current: relay.Item, is_fresh: bool
    ) -> float:
        known = self._platform.decode_upstream(former)
        if known is None or is_fresh:
            return 0.0
        upstream = self._platform.decode_upstream(current)
        if upstream is None:
            return self._relay.rewrite_seconds
        if not upstream.is_same_start(known):
            is_later = (upstream.born or 0) > (known.born or 0)
            return 0.0 if is_later else self._relay.rewrite_seconds
        is_older = upstream.sequence <= known.sequence
        if known.is_draining and not upstream.is_draining and is_older:
            # One that can't write any more has lapsed by then.
            return self._entry_seconds
        return 0.0
