"""Applies the objects of the store's topics to the affinity core."""

from __future__ import annotations

from skylarkfold import affinity
from skylarkfold.forwarder import _platform
from skylarkfold import machine
from skylarkfold import relay


class TopicApplier:
    """Decodes the objects of a topic and applies them to the core.

    :param platform: decodes the objects.
    :param settings: name the zones, and tell whether zones can be evacuated.
    :ivar zones: all availability zones.
    """

    __slots__ = ('_appliers', '_platform', 'zones')

    def __init__(
        self,
        platform: _platform.Platform,
        settings: machine.MachineSettings,
    ) -> None:
        self._platform = platform
        self.zones = settings.zones
        self._appliers = {
            platform.routes_topic: self._apply_routes,
            platform.upstreams_topic: self._apply_upstreams,
        }
        if settings.evacuation_seconds is not None:
            topic = platform.evacuations_topic
            self._appliers[topic] = self._apply_evacuations

    @property
    def topics(self) -> tuple[str, ...]:
        """The topics that the instance follows."""
        return tuple(self._appliers)

    @property
    def shared_topics(self) -> tuple[str, ...]:
        """The topics with one set of watchers for the whole fleet."""
        topic = self._platform.evacuations_topic
        return (topic,) if topic in self._appliers else ()

    @property
    def lasting_topics(self) -> tuple[str, ...]:
        """The topics that operators write and no program rewrites."""
        lasting = (
            self._platform.routes_topic,
            self._platform.evacuations_topic,
        )
        return tuple(each for each in lasting if each in self._appliers)

    def apply(
        self,
        now: float,
        topic: str,
        items: list[relay.Item],
        core: affinity.AffinityCore,
    ) -> list[object]:
        """Apply the objects of a topic.

        :param now: the time.
        :param topic: one of :attr:`topics`.
        :param items: all objects of the topic.
        :param core: the core to update.
        :returns: the effects of the update.
        """
        return self._appliers[topic](now, items, core)

    def _apply_routes(
        self, now: float, items: list[relay.Item], core: affinity.AffinityCore
    ) -> list[object]:
        routes = self._platform.decode_routes(items)
        if routes is None:
            return []
        return core.set_routes(now, routes)

    def _apply_upstreams(
        self, now: float, items: list[relay.Item], core: affinity.AffinityCore
    ) -> list[object]:
        upstreams = self._platform.decode_upstreams(items)
        return core.set_upstreams(now, upstreams)

    def _apply_evacuations(
        self, now: float, items: list[relay.Item], core: affinity.AffinityCore
    ) -> list[object]:
        evacuations = self._platform.decode_evacuations(items, self.zones)
        return core.set_evacuations(now, evacuations)
