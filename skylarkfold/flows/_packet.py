"""A caller's datagram on its way through the instances."""

from __future__ import annotations

import dataclasses

from skylarkfold import endpoint
from skylarkfold.flows import _messages

NO_HINT = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A datagram and where it has been.

    :param service: the name of the service that the first receiver found;
        no later one looks the address up again.
    :param address: the address that it was sent to; None where another
        instance received it.
    :param caller: who sent it.
    :param payload: its bytes.
    :param is_first: the mark of a beginning flow, None without marks.
    :param visited: the instances that could not answer.
    :param wants_answer: whether the first of them asks for the upstream.
    :param hint: the index of the upstream that one of them knows the flow
        on, ``NO_HINT`` for none.
    :param is_returned: whether all that might know the flow were asked.
    :param home: the first of them that found itself the flow's home.
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
    """Unpack a datagram that another instance passed on.

    :param redirect: the message.
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
    """Pack a datagram for another instance.

    :param packet: the datagram.
    :param name: this instance.
    :param wants_answer: whether the first receiver wants the answer.
    :param hint: where this instance knows the flow, or what it was told.
    :param is_returned: whether the receiver has to decide.
    :param home: the first that found itself the flow's home.
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
