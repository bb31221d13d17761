"""Which decision takes which event or message."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from skylarkfold import event
from skylarkfold import message as message_module
from skylarkfold.requests import _context
from skylarkfold.requests import _holders
from skylarkfold.requests import _messages

if TYPE_CHECKING:
    from skylarkfold.requests import _core


@functools.singledispatch
def take(received: object, core: _core.RequestCore, now: float) -> None:
    """Hand an event to what decides; ignore those for other cores.

    :param received: the event.
    :param core: the core that got it.
    :param now: the time.
    """


@take.register(event.RequestReceived)
def _(
    received: event.RequestReceived, core: _core.RequestCore, now: float
) -> None:
    request = received.request
    core.reception.receive(now, request, _context.Asker('', 0, request.number))


@take.register(event.RequestCancelled)
def _(
    received: event.RequestCancelled, core: _core.RequestCore, now: float
) -> None:
    core.reception.cancel(now, received.request)


@take.register(event.AttemptEnded)
def _(
    received: event.AttemptEnded, core: _core.RequestCore, now: float
) -> None:
    core.lifecycle.end_attempt(now, received)


@take.register(event.LoadReported)
def _(
    received: event.LoadReported, core: _core.RequestCore, now: float
) -> None:
    core.lifecycle.record_load(now, received)


@take.register(event.ConfigurationChanged)
def _(
    received: event.ConfigurationChanged, core: _core.RequestCore, now: float
) -> None:
    core.configure(now, received.configuration)


@take.register(event.MembershipChanged)
def _(
    received: event.MembershipChanged, core: _core.RequestCore, now: float
) -> None:
    core.observe_membership(now, received.membership)


@take.register(event.ObjectChanged)
def _(
    received: event.ObjectChanged, core: _core.RequestCore, now: float
) -> None:
    changed = received.stored
    if changed.path == _holders.PATH:
        core.observe_holders(
            now, changed.revision, changed.version, changed.value
        )
    elif changed.path == _holders.GONE_PATH:
        core.succession.observe_gone(changed.value)


@take.register(event.WriteEnded)
def _(received: event.WriteEnded, core: _core.RequestCore, now: float) -> None:
    core.end_write(now, received)


@take.register(event.PeerLost)
def _(received: event.PeerLost, core: _core.RequestCore, now: float) -> None:
    core.lose_peer(now, received.peer)


@take.register(event.Tick)
def _(received: event.Tick, core: _core.RequestCore, now: float) -> None:
    core.tick(now)


@take.register(event.StopRequested)
def _(
    received: event.StopRequested, core: _core.RequestCore, now: float
) -> None:
    core.stop(now)


@take.register(event.PeerMessageReceived)
def _(
    received: event.PeerMessageReceived, core: _core.RequestCore, now: float
) -> None:
    take_message(received.message, received.sender, core, now)


@functools.singledispatch
def take_message(
    received: message_module.PeerMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    """Hand a peer's message to what decides; others concern slots.

    :param received: the message.
    :param sender: the peer.
    :param core: the core that got it.
    :param now: the time.
    """
    core.lifecycle.handle_message(now, sender, received)


@take_message.register(_messages.ClaimMessage)
def _(
    received: _messages.ClaimMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.voter.vote(now, sender, received)


@take_message.register(_messages.VoteMessage)
def _(
    received: _messages.VoteMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.keys.record_vote(now, sender, received)


@take_message.register(_messages.ReleaseMessage)
def _(
    received: _messages.ReleaseMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.voter.release(sender, received)


@take_message.register(_messages.PassMessage)
def _(
    received: _messages.PassMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.reception.take_pass(now, sender, received)


@take_message.register(_messages.PassEndedMessage)
def _(
    received: _messages.PassEndedMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.passes.end(now, sender, received)


@take_message.register(_messages.InheritMessage)
def _(
    received: _messages.InheritMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.succession.tell_votes(sender, received)


@take_message.register(_messages.InheritedMessage)
def _(
    received: _messages.InheritedMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.succession.take_votes(now, sender, received)


@take_message.register(_messages.ReportMessage)
def _(
    received: _messages.ReportMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.succession.take_report(now, sender, received)


@take_message.register(_messages.HandOnMessage)
def _(
    received: _messages.HandOnMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.keys.take_over(now, received)


@take_message.register(_messages.HoldersMessage)
def _(
    received: _messages.HoldersMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.observe_holders(
        now, received.revision, received.version, received.value
    )


@take_message.register(_messages.TicketRequestMessage)
def _(
    received: _messages.TicketRequestMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.passes.issue(now, sender, received)


@take_message.register(_messages.TicketMessage)
def _(
    received: _messages.TicketMessage,
    sender: str,
    core: _core.RequestCore,
    now: float,
) -> None:
    core.passes.use_ticket(now, sender, received)
