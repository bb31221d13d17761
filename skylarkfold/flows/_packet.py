"""A caller's datagram and its conversion to and from redirects."""

from __future__ import annotations

import dataclasses

from skylarkfold import endpoint
from skylarkfold.flows import _messages

NO_HINT = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A datagram and its path through the instances.

    See :class:`~skylarkfold.flows._messages.Redirect` for the fields that
    are not described here.

    :param service: the name of the service, as looked up by the instance
        that received the datagram from the caller.
    :param address: the address that it was sent to; None if it was
        redirected by another instance.
    :param caller: the sender.
    :param payload: the payload.
    :param is_first: whether it begins a flow; None if the protocol has no
        mark for that.
    :param visited: the instances that could not route it.
    :param wants_answer: whether the first of them asks for the upstream.
    :param hint: the index of the upstream that one of them has for the flow,
        ``NO_HINT`` for none.
    :param is_returned: whether this instance has to place the flow.
    :param home: the first of them that is the flow's home in its own view.
    """

    service: str
    address: endpoint.Endpoint | None
    caller: endpoint.Endpoint
    payload: bytes
    is_first: bool | None
    visited: tuple[str, ...] = ()
    wants_answer: bool = False
    hint: int = NO_HINT
    is_returned: bool = False
    home: str = ''


def unpack_redirect(redirect: _messages.Redirect) -> Packet:
    """Build the packet of a redirected datagram.

    :param redirect: the message of the other instance.
    :returns: the datagram.
    """
    return Packet(
        service=redirect.service,
        address=None,
        caller=endpoint.Endpoint(redirect.host, redirect.port),
        payload=redirect.payload,
        is_first=redirect.is_first,
        visited=tuple(redirect.visited),
        wants_answer=redirect.wants_answer,
        hint=redirect.hint,
        is_returned=redirect.is_returned,
        home=redirect.home,
    )


def build_redirect(
    packet: Packet,
    name: str,
    wants_answer: bool,
    hint: int,
    is_returned: bool,
    home: str,
) -> _messages.Redirect:
    """Build the message that redirects a datagram to another instance.

    :param packet: the datagram.
    :param name: this instance's name.
    :param wants_answer: whether the first receiver asks for the upstream.
    :param hint: the index of the upstream of the flow, ``NO_HINT`` for none.
    :param is_returned: whether the receiver has to place the flow.
    :param home: the first instance that is the flow's home in its own view.
    :returns: the message.
    """
    return _messages.Redirect(
        service=packet.service,
        host=packet.caller.host,
        port=packet.caller.port,
        payload=packet.payload,
        is_first=packet.is_first,
        visited=[*packet.visited, name],
        wants_answer=wants_answer,
        hint=hint,
        is_returned=is_returned,
        home=home,
    )
