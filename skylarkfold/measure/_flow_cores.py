"""Single cores in a known state, for measures of cost."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from skylarkfold import configuration
from skylarkfold import effect
from skylarkfold import endpoint
from skylarkfold import event
from skylarkfold import flow
from skylarkfold import flows
from skylarkfold import instance
from skylarkfold import member
from skylarkfold import message
from skylarkfold import platform_api
from skylarkfold import service as service_module

ADDRESS = endpoint.Endpoint('10.0.0.1', 7000)
OWN_NAME = 'entry-1'
UPSTREAMS = 7
FLOWS_IN_NOTE = 1000
_NOTE_TAG = 2


def make_service(
    preference: service_module.Preference,
) -> service_module.Service:
    """Make a service with a few upstreams.

    :param preference: what it prefers.
    :returns: the service.
    """
    upstreams = tuple(
        service_module.Upstream(
            f'press-desk-{number}',
            endpoint.Endpoint(f'10.0.1.{number}', 9000),
            'hall-a',
        )
        for number in range(1, UPSTREAMS + 1)
    )
    return service_module.Service(
        'press-desk', 'desk', ADDRESS, upstreams, preference=preference
    )


def make_core(
    service: service_module.Service,
    settings: flows.FlowSettings,
    members: int,
) -> flows.FlowCore:
    """Make a core that has its table and knows its peers.

    :param service: the only service.
    :param settings: of the core.
    :param members: how many instances there are, this one included.
    :returns: the core.
    """
    table = _write_table(service, settings)
    core = _begin(service, settings)
    core.handle(0.0, event.MembershipChanged(make_membership(members)))
    core.handle(0.0, event.ObjectChanged(table))
    # Peers that are new to each other ask each other for a while.
    core.handle(settings.settle_seconds + 1.0, event.Tick())
    return core


def make_membership(members: int, version: int = 1) -> member.Membership:
    """Make a membership.

    :param members: how many instances there are.
    :param version: its version.
    :returns: the membership.
    """
    names = [f'entry-{number}' for number in range(1, members + 1)]
    return member.Membership(
        version,
        {
            name: member.Member(
                name,
                f'hall-{position % 3}',
                'sierra-norte',
                endpoint.Endpoint(name, 7946),
            )
            for position, name in enumerate(names)
        },
    )


def give_pins(
    core: flows.FlowCore,
    service: service_module.Service,
    callers: list[endpoint.Endpoint],
) -> None:
    """Let a core take pins of flows from a peer.

    :param core: the core.
    :param service: the flows' service.
    :param callers: the flows' callers.
    """
    for note in _list_notes(service, callers):
        core.handle(0.0, event.PeerMessageReceived('entry-2', note))


def _list_notes(
    service: service_module.Service, callers: list[endpoint.Endpoint]
) -> Iterator[message.PeerMessage]:
    for start in range(0, len(callers), FLOWS_IN_NOTE):
        hashes = [
            flow.hash_flow(flow.FlowKey(service.name, caller))
            for caller in callers[start : start + FLOWS_IN_NOTE]
        ]
        upstream = start // FLOWS_IN_NOTE % UPSTREAMS
        fields = [_NOTE_TAG, service.name, [[upstream, hashes]]]
        yield msgspec.convert(fields, type=flows.MESSAGES)


def _begin(
    service: service_module.Service, settings: flows.FlowSettings
) -> flows.FlowCore:
    own = instance.InstanceSettings(
        OWN_NAME,
        'hall-0',
        'sierra-norte',
        endpoint.Endpoint(OWN_NAME, 7946),
    )
    core = flows.FlowCore(own, settings)
    known = configuration.Configuration(1, {service.name: service})
    core.handle(0.0, event.ConfigurationChanged(known))
    return core


def _write_table(
    service: service_module.Service, settings: flows.FlowSettings
) -> platform_api.StoredObject:
    """Let a core that is alone write the service's first table."""
    core = _begin(service, settings)
    core.handle(0.0, event.MembershipChanged(make_membership(1)))
    for tick in range(1, 100):
        for each in core.handle(float(tick), event.Tick()):
            if isinstance(each, effect.RequestWrite):
                write = each.write
                return platform_api.StoredObject(write.path, 1, 2, write.value)
    raise RuntimeError('no table was written')
