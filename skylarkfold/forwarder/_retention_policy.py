"""Decides which of two versions of an object is the newer, by its content.

Used after the platform's store was restored from an older copy: revision
numbers from before and after that can't be compared.
"""

from __future__ import annotations

from skylarkfold.forwarder import _platform
from skylarkfold.forwarder import _settings
from skylarkfold import relay


class ItemRetentionPolicy:
    """Compares the former version of an object with the restored one.

    :param platform: decodes the objects.
    :param forwarder_settings: how long to wait for an object to be written
        again.
    """

    __slots__ = ('_comparers', '_entry_seconds', '_platform', '_relay')

    def __init__(
        self,
        platform: _platform.Platform,
        forwarder_settings: _settings.ForwarderSettings,
    ) -> None:
        self._platform = platform
        self._relay = forwarder_settings.relay
        self._entry_seconds = forwarder_settings.affinity.entry_seconds
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
        """Compute how long a version of a former era replaces the current one.

        :param topic: the topic of the object.
        :param former: the version known before the store was restored.
        :param current: the version that the store has now.
        :param is_fresh: whether ``current`` was certainly written after the
            store was restored.
        :returns: seconds; 0 if ``current`` is at least as new.
        """
        compare = self._comparers.get(topic)
        if compare is None:
            return 0.0
        return compare(former, current, is_fresh)

    def _compare_routes(
        self, former: relay.Item, current: relay.Item, _is_fresh: bool
    ) -> float:
        # Fresh objects are compared as well: an operator may write all lost
        # versions again, one after the other.
        former_version = self._platform.read_version(former)
        if former_version is None:
            return 0.0
        version = self._platform.read_version(current)
        if version is not None and version >= former_version:
            return 0.0
        return self._relay.lasting_seconds

    def _compare_upstreams(
        self, former: relay.Item, current: relay.Item, is_fresh: bool
    ) -> float:
        former_upstream = self._platform.decode_upstream(former)
        if former_upstream is None or is_fresh:
            return 0.0
        upstream = self._platform.decode_upstream(current)
        if upstream is None:
            return self._relay.rewrite_seconds
        if not upstream.is_same_start(former_upstream):
            is_later = (upstream.born or 0) > (former_upstream.born or 0)
            return 0.0 if is_later else self._relay.rewrite_seconds
        has_older_sequence = upstream.sequence <= former_upstream.sequence
        if (
            former_upstream.is_draining
            and not upstream.is_draining
            and has_older_sequence
        ):
            # An upstream that is gone has expired by then.
            return self._entry_seconds
        return 0.0
