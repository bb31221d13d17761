"""State and outputs that all parts of the request core share."""

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
    """The caller or peer that waits for an answer.

    :param peer: the instance that forwarded the request, empty for a caller
        of this instance.
    :param boot_id: the boot ID of that instance's process, 0 for a caller.
    :param number: the request's number, or the forward's ID at the peer.
    """

    peer: str
    boot_id: int
    number: int


class Context:
    """Identity, settings and pending effects of one request core.

    :param instance: the identity of this instance.
    :param settings: the request settings.
    :param seed: seed of the pseudo-random numbers; differs between processes.
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
        """Return a pseudo-random number, derived from the seed and a text.

        :param text: identifies the number within this process.
        :returns: a number from 0 to 2**63 - 1.
        """
        seeded_text = f'{self._seed}|{self.name}|{text}'
        return xxhash.xxh3_64_intdigest(seeded_text.encode()) & _POSITIVE

    def jitter(self, seconds: float, text: str) -> float:
        """Return a delay with jitter of plus or minus one half.

        :param seconds: the mean delay.
        :param text: identifies the delay, see :meth:`draw`.
        :returns: the delay in seconds.
        """
        return seconds * (0.5 + self.draw(text) / _SCALE)

    def send(self, peer: str, message: message_module.PeerMessage) -> None:
        """Add the effect that sends a message to a peer.

        :param peer: the peer's name.
        :param message: the message.
        """
        self.effects.append(effect.SendToPeer(peer, message))

    def reply(
        self, requester: Requester, answer: request_module.Answer
    ) -> None:
        """Send a final answer to its requester.

        :param requester: the caller or peer that waits.
        :param answer: the answer.
        """
        if not requester.peer:
            self.effects.append(effect.SendAnswer(requester.number, answer))
            return
        message = _messages.ForwardEndedMessage(
            target_boot_id=requester.boot_id,
            forward_id=requester.number,
            status=_messages.ForwardStatus.ANSWERED,
            verdict=answer.verdict,
            answer_status=answer.status,
            headers=answer.headers,
            body=answer.body,
            code=answer.code,
            retry_after_seconds=answer.retry_after_seconds,
        )
        self.send(requester.peer, message)

    def refuse(
        self, requester: Requester, verdict: verdict_module.Verdict, code: str
    ) -> None:
        """Send an error answer to its requester.

        :param requester: the caller or peer that waits.
        :param verdict: whether the request may have run.
        :param code: the error code.
        """
        answer = _answers.build_refusal(
            verdict, code, self.settings.retry_after_seconds
        )
        self.reply(requester, answer)

    def reply_all(
        self, requesters: dict[Requester, float], answer: request_module.Answer
    ) -> None:
        """Send a final answer to several requesters and clear them.

        :param requesters: the requesters with their deadlines; empty
            afterwards.
        :param answer: the answer.
        """
        for requester in requesters:
            self.reply(requester, answer)
        requesters.clear()

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a metric.

        :param name: the metric's name.
        :param amount: the increment.
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
        """Write a decision to the log.

        :param kind: the kind of decision.
        :param subject: the request, key or list that it concerns.
        :param reason: the reason.
        :param service: the service's name.
        :param upstream: the name of the chosen upstream or instance.
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
