"""What all parts of the request core share."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

from skylarkfold import effect
from skylarkfold import instance as instance_module
from skylarkfold import message as message_module
from skylarkfold import request as request_module
from skylarkfold.requests import _answers
from skylarkfold.requests import _messages
from skylarkfold.requests import _settings
from skylarkfold import verdict as verdict_module

_POSITIVE = (1 << 63) - 1
_SCALE = 1 << 63


class Requester(NamedTuple):
    """Who waits for an answer.

    :param peer: the instance that passed the request, empty for a caller
        of this one.
    :param boot: that instance's process, 0 for a caller.
    :param number: the request's number, or the peer's pass.
    """

    peer: str
    boot_id: int
    number: int


class Context:
    """Identity, settings and effects of one core.

    :param instance: who this instance is.
    :param settings: the request settings.
    :param seed: differs between processes.
    """

    def __init__(
        self,
        instance: instance_module.InstanceSettings,
        settings: _settings.RequestSettings,
        seed: int,
    ) -> None:
        self.instance = instance
        self.name = instance.name
        self.settings = settings
        self.effects: list[object] = []
        self.reachable: frozenset[str] = frozenset()
        self._seed = seed
        self.boot_id = self.draw(instance.name)

    def draw(self, text: str) -> int:
        """Draw a number that differs between processes.

        :param text: what it is for.
        :returns: a number from 0 to 2**63 - 1.
        """
        seeded = f'{self._seed}|{self.name}|{text}'
        return xxhash.xxh3_64_intdigest(seeded.encode()) & _POSITIVE

    def jitter(self, seconds: float, text: str) -> float:
        """Spread a delay between half and one and a half times itself.

        :param seconds: the mean.
        :param text: what the delay is for.
        :returns: the delay in seconds.
        """
        return seconds * (0.5 + self.draw(text) / _SCALE)

    def send(self, peer: str, sent: message_module.PeerMessage) -> None:
        """Send a message to a peer.

        :param peer: its name.
        :param sent: the message.
        """
        self.effects.append(effect.SendToPeer(peer, sent))

    def reply(
        self, requester: Requester, answer: request_module.Answer
    ) -> None:
        """Send a final answer to whoever waits for it.

        :param asker: who asked.
        :param answer: the answer.
        """
        if not requester.peer:
            self.effects.append(effect.SendAnswer(requester.number, answer))
            return
        ended = _messages.ForwardEndedMessage(
            target_boot_id=requester.boot_id,
            number=requester.number,
            status=_messages.ForwardStatus.ANSWERED,
            verdict=answer.verdict,
            answer_status=answer.status,
            headers=answer.headers,
            body=answer.body,
            code=answer.code,
            retry_after_seconds=answer.retry_after_seconds,
        )
        self.send(requester.peer, ended)

    def refuse(
        self, requester: Requester, verdict: verdict_module.Verdict, code: str
    ) -> None:
        """Send an answer without an upstream's to whoever waits for it.

        :param asker: who asked.
        :param verdict: whether the request may have run.
        :param code: why.
        """
        answer = _answers.build_refusal(
            verdict, code, self.settings.retry_after_seconds
        )
        self.reply(requester, answer)

    def reply_all(
        self, requesters: dict[Requester, float], answer: request_module.Answer
    ) -> None:
        """Send a final answer to all who wait, and expect none of them.

        :param askers: who asked, each with its deadline; empty afterwards.
        :param answer: the answer.
        """
        for requester in requesters:
            self.reply(requester, answer)
        requesters.clear()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter.

        :param name: the counter.
        :param amount: how much.
        """
        self.effects.append(effect.CountMetric(name, amount))

    def log(
        self,
        kind: str,
        subject: str,
        reason: str,
        service: str = '',
        upstream: str = '',
    ) -> None:
        """Record a decision.

        :param kind: what was decided.
        :param subject: about what.
        :param reason: why.
        :param service: the service concerned.
        :param upstream: the upstream or instance chosen.
        """
        self.effects.append(
            effect.RecordDecision(
                kind=kind,
                service=service,
                subject=subject,
                upstream=upstream,
                reason=str(reason),
            )
        )
