"""Several cores with a clock, links, a platform and a fabric between.

This is no simulator of a cluster: it carries what the cores' interface
names, with delays and faults drawn from one seed, and judges nothing but
what :mod:`skylarkfold.measure._flow_oracle` sees.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import itertools
import random

from collections.abc import Iterable

from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event as event_module
from skylarkfold import instance as instance_module
from skylarkfold.measure import _flow_links
from skylarkfold.measure import _flow_news
from skylarkfold.measure import _flow_node
from skylarkfold.measure import _flow_oracle
from skylarkfold.measure import _flow_platform
from skylarkfold.measure import _flow_rules
from skylarkfold.measure import _flow_schedule
from skylarkfold.measure import _flow_views
from skylarkfold import member
from skylarkfold import message as message_module
from skylarkfold import platform_api
from skylarkfold import service as service_module

TICK_SECONDS = 0.25
REVISION_REPORT_SECONDS = 0.5
LOAD_REPORT_SECONDS = 2.0
RECENT_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSettings:
    """The surroundings of a run.

    :param uneven_seconds: within how long an update reaches all instances.
    :param detection_seconds: how long a death stays unnoticed at least.
    :param fabric_lag_seconds: how long the fabric still hands packets to
        an instance that leaves.
    :param links: how peer messages travel.
    :param platform_delay_seconds: the store's time each way.
    """

    uneven_seconds: float = 2.0
    detection_seconds: float = 2.0
    fabric_lag_seconds: float = 1.0
    links: _flow_links.LinkSettings = _flow_links.LinkSettings()
    platform_delay_seconds: float = 0.005


class Fleet:
    """The instances and all that lies between them.

    :param rule: which cores to run.
    :param settings: the surroundings.
    :param services: what each address belongs to for the whole run.
    :param seed: of all delays and faults.
    """

    def __init__(
        self,
        rule: _flow_rules.Rule,
        settings: FleetSettings,
        services: dict[endpoint.Endpoint, str],
        seed: int,
    ) -> None:
        self.settings = settings
        self.schedule = _flow_schedule.Schedule()
        self.oracle = _flow_oracle.Oracle(services)
        self.nodes: dict[str, _flow_node.Node] = {}
        self.metrics: collections.Counter[str] = collections.Counter()
        self.decisions: collections.Counter[str] = collections.Counter()
        self.published = _flow_views.Published()
        self._rule = rule
        self._serving: list[str] | None = None
        self._source = random.Random(seed)
        self.links = _flow_links.Links(
            self.schedule,
            settings.links,
            rule.messages,
            rule.data_messages,
            self._receive,
            self._source,
        )
        self.platform = _flow_platform.Platform(
            self.schedule,
            _flow_platform.PlatformSettings(settings.platform_delay_seconds),
            self._publish_object,
            self._source,
        )
        self._news = _flow_news.News(
            self.nodes, self.links.cut, self._feed, self._later
        )
        self.schedule.add(REVISION_REPORT_SECONDS, self._report_revisions)
        self.schedule.add(LOAD_REPORT_SECONDS, self._report_loads)

    @property
    def now(self) -> float:
        """The time in seconds of the run's clock."""
        return self.schedule.now

    def advance(self, seconds: float) -> None:
        """Let time pass.

        :param seconds: how much.
        """
        self.schedule.run_until(self.schedule.now + seconds)

    def start(self, name: str, zone: str = 'hall-a') -> None:
        """Start an instance with nothing in its memory.

        It takes packets once it has the configuration, as an entry does
        before it opens its sockets.

        :param name: its name, which may have been used before.
        :param zone: its availability zone.
        """
        own = self._news.name_start(name, zone)
        settings = instance_module.InstanceSettings(
            name, zone, own.region, own.address
        )
        offset = self._source.uniform(0, 1000)
        node = _flow_node.Node(own, self._rule.make_core(settings), offset)
        self.nodes[name] = node
        self._feed(node, node.view.report())
        self._news.tell_all(node)
        self._catch_up_later(node)
        self._news.spread(own)
        tick = functools.partial(self._tick, node)
        self.schedule.add(self._source.uniform(0, TICK_SECONDS), tick)

    def kill(self, name: str, resets: bool = False) -> None:
        """End an instance without notice.

        :param name: the instance.
        :param resets: whether its streams are reset, as they are when the
            process dies and its machine lives.
        """
        node = self.nodes.pop(name)
        self._serving = None
        if resets:
            self._reset_streams(name)
        dead = dataclasses.replace(node.own, state=member.MemberState.DEAD)
        notice = functools.partial(self._news.spread, dead)
        self.schedule.add(self.settings.detection_seconds, notice)

    def stop(self, name: str) -> None:
        """Ask an instance to stop as planned.

        :param name: the instance.
        """
        node = self.nodes[name]
        node.is_leaving = True
        self._news.announce(node, member.MemberState.LEAVING)
        self._feed(node, event_module.StopRequested())
        check = functools.partial(self._finish_stop, node)
        self.schedule.add(self.settings.fabric_lag_seconds, check)

    def configure(self, services: Iterable[service_module.Service]) -> None:
        """Accept new settings, which reach the instances unevenly.

        :param services: all services.
        """
        self.published.services = {each.name: each for each in services}
        for service in self.published.services.values():
            self.oracle.learn(service)
        self.published.revision = self.platform.take_revision()
        self.published.services_revision = self.published.revision
        self._spread_published()

    def lose_upstream(self, service: str, upstream: str) -> None:
        """Let an upstream die; the next load reports say so.

        :param service: the service's name.
        :param upstream: the upstream's name.
        """
        self.oracle.dead_upstreams.add((service, upstream))

    def cut(self, one: Iterable[str], other: Iterable[str]) -> None:
        """Cut instances off from others.

        :param one: instances on one side.
        :param other: those on the other side.
        """
        pairs = list(itertools.product(one, other))
        self.links.cut.update(map(frozenset, pairs))
        notice = functools.partial(self._news.notice_cut, pairs)
        self.schedule.add(self.settings.detection_seconds, notice)

    def join(self) -> None:
        """Let all instances reach each other again."""
        pairs = [tuple(sorted(pair)) for pair in self.links.cut]
        self.links.cut.clear()
        for name in sorted({name for pair in pairs for name in pair}):
            if name in self.nodes:
                self._news.refute(self.nodes[name])

    def cut_platform(self, name: str, is_cut_off: bool) -> None:
        """Cut an instance off from what is published, or join it again.

        :param name: the instance.
        :param is_cut_off: which of both.
        """
        node = self.nodes[name]
        node.is_cut_off = is_cut_off
        self._catch_up_later(node)

    def deliver(
        self, name: str, datagram: event_module.DatagramReceived
    ) -> None:
        """Hand a packet to an instance.

        :param name: the instance.
        :param datagram: the packet.
        """
        node = self.nodes[name]
        effects = node.core.handle(
            self.schedule.now + node.clock_offset, datagram
        )
        self._execute(node, effects)

    def list_serving(self) -> list[str]:
        """List the instances to which the fabric may hand packets."""
        if self._serving is None:
            self._serving = [
                name
                for name, node in self.nodes.items()
                if node.view.position > 0
            ]
        return self._serving

    def _report_loads(self) -> None:
        self.schedule.add(LOAD_REPORT_SECONDS, self._report_loads)
        since = self.now - RECENT_SECONDS
        counts = self.oracle.count_current(since)
        for service in self.published.services.values():
            for upstream in service.upstreams:
                subject = (service.name, upstream.name)
                self._report_load(subject, counts[subject])

    def _report_load(self, subject: tuple[str, str], flows: int) -> None:
        healthy = subject not in self.oracle.dead_upstreams
        report = event_module.LoadReported(
            *subject, healthy, 0, flows, reachable=healthy
        )
        for node in self.nodes.values():
            self._later(self._feed, node, report)

    def _spread_published(self) -> None:
        for node in self.nodes.values():
            self._catch_up_later(node)

    def _catch_up_later(self, node: _flow_node.Node) -> None:
        self._later(self._catch_up, node)

    def _catch_up(self, node: _flow_node.Node) -> None:
        if node.is_cut_off:
            return
        self._feed_all(node, node.view.catch_up(self.published))
        self._serving = None
        if node.own.state is member.MemberState.JOINING:
            self._news.announce(node, member.MemberState.ALIVE)

    def _publish_object(self, written: platform_api.StoredObject) -> None:
        self.published.objects[written.path] = written
        self.published.revision = written.revision
        self._spread_published()

    def _report_revisions(self) -> None:
        self.schedule.add(REVISION_REPORT_SECONDS, self._report_revisions)
        positions = {
            name: node.view.position for name, node in self.nodes.items()
        }
        for node in list(self.nodes.values()):
            heard = {
                name: position
                for name, position in positions.items()
                if frozenset((name, node.name)) not in self.links.cut
            }
            self._later(self._hear_revisions, node, heard)

    def _hear_revisions(
        self, node: _flow_node.Node, heard: dict[str, int]
    ) -> None:
        self._feed_all(node, node.view.hear_revisions(heard))

    def _reset_streams(self, name: str) -> None:
        for node in self.nodes.values():
            if name in node.view.members:
                self._feed(node, event_module.PeerLost(name))

    def _finish_stop(self, node: _flow_node.Node) -> None:
        if not getattr(node.core, 'is_finished', True):
            check = functools.partial(self._finish_stop, node)
            self.schedule.add(TICK_SECONDS, check)
            return
        if self.nodes.get(node.name) is not node:
            return
        del self.nodes[node.name]
        self._serving = None
        self._reset_streams(node.name)
        left = dataclasses.replace(node.own, state=member.MemberState.LEFT)
        self._news.spread(left)

    def _tick(self, node: _flow_node.Node) -> None:
        if self.nodes.get(node.name) is not node:
            return
        self._feed(node, event_module.Tick())
        self.schedule.add(TICK_SECONDS, functools.partial(self._tick, node))

    def _receive(
        self, sender: str, receiver: str, message: message_module.PeerMessage
    ) -> None:
        node = self.nodes.get(receiver)
        if node is not None:
            received = event_module.PeerMessageReceived(sender, message)
            self._feed(node, received)

    def _later(
        self, act: object, node: _flow_node.Node, *arguments: object
    ) -> None:
        delay = self._source.uniform(0, self.settings.uneven_seconds)
        action = functools.partial(self._act, act, node, arguments)
        self.schedule.add(delay, action)

    def _act(
        self, act: object, node: _flow_node.Node, arguments: tuple[object, ...]
    ) -> None:
        if self.nodes.get(node.name) is node:
            act(node, *arguments)

    def _feed_all(self, node: _flow_node.Node, events: list[object]) -> None:
        for each in events:
            self._feed(node, each)

    def _feed(self, node: _flow_node.Node, event: object) -> None:
        now = self.schedule.now + node.clock_offset
        self._execute(node, node.core.handle(now, event))

    def _execute(self, node: _flow_node.Node, effects: list[object]) -> None:
        for each in effects:
            if type(each) is effect.ForwardDatagram:
                self.oracle.record_forward(self.schedule.now, node.name, each)
            elif type(each) is effect.SendToPeer:
                self.links.send(node.name, each.peer, each.message)
            elif type(each) is effect.RecordDecision:
                self.decisions[each.kind] += 1
            elif type(each) is effect.CountMetric:
                self.metrics[each.name] += each.amount
            elif type(each) is effect.DropDatagram:
                self.oracle.record_drop(each)
            elif type(each) is effect.RequestWrite:
                ended = functools.partial(self._end_write, node)
                self.platform.request(each.write, ended)

    def _end_write(
        self,
        node: _flow_node.Node,
        write: platform_api.WriteObject,
        status: platform_api.PlatformStatus,
        current: platform_api.StoredObject | None,
    ) -> None:
        if self.nodes.get(node.name) is node:
            ended = event_module.WriteEnded(write.path, status, current)
            self._feed(node, ended)
