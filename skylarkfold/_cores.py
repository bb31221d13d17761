"""The decision cores of one instance and their composition."""

from __future__ import annotations

import dataclasses

from skylarkfold import assembly
from skylarkfold import distribution
from skylarkfold import event
from skylarkfold import flows
from skylarkfold import membership
from skylarkfold import node as node_module
from skylarkfold import requests
from skylarkfold import settings as settings_module
from skylarkfold import store

MESSAGES = (
    membership.MESSAGES
    | distribution.MESSAGES
    | flows.MESSAGES
    | requests.MESSAGES
)
_FLOW_EVENTS = (
    event.DatagramReceived,
    event.StreamOpened,
    event.StreamClosed,
)
_REQUEST_EVENTS = (
    event.RequestReceived,
    event.RequestCancelled,
    event.AttemptEnded,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Cores:
    """The decision cores of one instance."""

    membership: membership.MembershipCore
    distribution: distribution.DistributionCore
    store: store.StoreCore
    assembly: assembly.ConfigurationCore
    flows: flows.FlowCore
    requests: requests.RequestCore

    @property
    def is_ready(self) -> bool:
        """Whether the instance is ready to receive traffic."""
        return all(
            getattr(getattr(self, field.name), 'is_ready', True)
            for field in dataclasses.fields(self)
        )


def build_cores(
    settings: settings_module.EntrySettings, incarnation: int
) -> Cores:
    """Build all cores of an instance.

    :param settings: the instance's settings.
    :param incarnation: a number that is higher than that of any earlier
        process of the same name; also the seed for jitter.
    :returns: the cores.
    """
    instance = settings.instance
    return Cores(
        membership=membership.MembershipCore(
            instance, settings.membership, incarnation, incarnation
        ),
        distribution=distribution.DistributionCore(
            instance, settings.distribution, incarnation
        ),
        store=store.StoreCore(instance, settings.store, incarnation),
        assembly=assembly.ConfigurationCore(),
        flows=flows.FlowCore(instance, settings.flows),
        requests=requests.RequestCore(
            instance, settings.requests, incarnation
        ),
    )


def build_node(cores: Cores) -> node_module.Node:
    """Compose cores into a node.

    :param cores: the cores.
    :returns: the node.
    """
    list_types = node_module.list_message_types
    return node_module.Node(
        [
            node_module.CoreBinding(
                cores.membership,
                list_types(membership.MESSAGES),
                membership.FIRST_CALL_NUMBER,
            ),
            node_module.CoreBinding(
                cores.distribution,
                list_types(distribution.MESSAGES),
                distribution.FIRST_CALL_NUMBER,
            ),
            node_module.CoreBinding(cores.store, first_call_number=0),
            node_module.CoreBinding(cores.assembly),
            node_module.CoreBinding(
                cores.flows, list_types(flows.MESSAGES), events=_FLOW_EVENTS
            ),
            node_module.CoreBinding(
                cores.requests,
                list_types(requests.MESSAGES),
                events=_REQUEST_EVENTS,
            ),
        ]
    )
