"""What the instances of a fleet learn of each other, and when."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses

from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold.measure import _flow_node
from skylarkfold import member

REGION = 'sierra-norte'
PEER_PORT = 7946


class News:
    """Carries the states of instances to the others.

    :param nodes: the instances that run, by name.
    :param cut: the pairs of names between which nothing passes.
    :param feed: hands an event to an instance.
    :param later: does something with an instance after a random delay.
    """

    __slots__ = ('_cut', '_feed', '_incarnations', '_later', '_nodes')

    def __init__(
        self,
        nodes: dict[str, _flow_node.Node],
        cut: set[frozenset[str]],
        feed: Callable[[_flow_node.Node, object], None],
        later: Callable[..., None],
    ) -> None:
        self._nodes = nodes
        self._cut = cut
        self._feed = feed
        self._later = later
        self._incarnations: collections.Counter[str] = collections.Counter()

    def name_start(self, name: str, zone: str) -> member.Member:
        """Make the entry of an instance that starts.

        :param name: its name, which may have been used before.
        :param zone: its availability zone.
        :returns: itself as a member that joins.
        """
        self._incarnations[name] += 1
        return member.Member(
            name,
            zone,
            REGION,
            endpoint.Endpoint(name, PEER_PORT),
            self._incarnations[name],
            member.MemberState.JOINING,
        )

    def tell_all(self, node: _flow_node.Node) -> None:
        """Tell an instance that starts of all others.

        :param node: the instance.
        """
        for peer in list(self._nodes.values()):
            if peer is not node:
                self._learn(node, peer.own)

    def spread(self, news: member.Member) -> None:
        """Tell all whom it reaches of an instance, unevenly.

        :param news: the instance.
        """
        for node in self._nodes.values():
            pair = frozenset((node.name, news.name))
            if node.name == news.name or pair in self._cut:
                continue
            self._later(self._learn, node, news)

    def notice_cut(self, pairs: list[tuple[str, str]]) -> None:
        """Let those that are still cut off take each other for dead.

        :param pairs: names of instances.
        """
        for one, other in pairs:
            if frozenset((one, other)) in self._cut:
                self._notice_death(one, other)
                self._notice_death(other, one)

    def refute(self, node: _flow_node.Node) -> None:
        """Let an instance tell that it is alive.

        :param node: the instance.
        """
        self._incarnations[node.name] += 1
        again = dataclasses.replace(
            node.own, incarnation=self._incarnations[node.name]
        )
        self._feed_all(node, node.view.learn(again))
        self.spread(again)

    def announce(
        self, node: _flow_node.Node, state: member.MemberState
    ) -> None:
        """Let an instance tell of its new state.

        :param node: the instance.
        :param state: the state.
        """
        changed = dataclasses.replace(node.own, state=state)
        self._feed_all(node, node.view.learn(changed))
        self.spread(changed)

    def _learn(self, node: _flow_node.Node, news: member.Member) -> None:
        self._feed_all(node, node.view.learn(news))
        if node.view.members[news.name] != news or news.name == node.name:
            return
        if news.state.is_reachable:
            self._feed(node, event.PeerConnected(news.name))
        else:
            self._feed(node, event.PeerLost(news.name))

    def _notice_death(self, name: str, peer: str) -> None:
        node = self._nodes.get(name)
        seen = node.view.members.get(peer) if node else None
        if seen is None or not seen.state.is_reachable:
            return
        dead = dataclasses.replace(seen, state=member.MemberState.DEAD)
        self._later(self._learn, node, dead)

    def _feed_all(self, node: _flow_node.Node, events: list[object]) -> None:
        for each in events:
            self._feed(node, each)
