"""A TCP relay between an instance and the store, with faults."""

from __future__ import annotations

import socket

from skylarkfold import reactor


class FaultyRelay:
    """Passes connections on, and harms them.

    Towards the target its connections come from the host where it listens,
    so that the target tells instances apart that have a relay each: on
    loopback their own connections all come from one host.

    :param loop: the event loop.
    :param host: where to listen, at a free port.
    :param target: where connections are passed on to.
    :ivar delay_seconds: how long bytes are held back, either way.
    :ivar is_one_way: whether what the target sends is lost.
    """

    def __init__(
        self,
        loop: reactor.Loop,
        host: str,
        target: tuple[str, int],
    ) -> None:
        self.loop = loop
        self.target = target
        self.delay_seconds = 0.0
        self.is_one_way = False
        self._pairs: list[_Pair] = []
        self._listener = reactor.Listener(loop, (host, 0), self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self._listener.address

    def silence(self) -> None:
        """Pass nothing more on open connections, and leave them open."""
        for pair in self._pairs:
            pair.is_silent = True

    def reset(self) -> None:
        """End all open connections."""
        for pair in list(self._pairs):
            pair.close()

    def close(self) -> None:
        """Stop listening and end all connections."""
        self._listener.close()
        self.reset()

    def _accept(self, stream: reactor.Stream) -> None:
        self._pairs = [each for each in self._pairs if not each.is_closed]
        self._pairs.append(_Pair(self, stream))


class _Pair:
    """A connection and its continuation."""

    def __init__(self, relay: FaultyRelay, near: reactor.Stream) -> None:
        self.is_silent = False
        self._relay = relay
        self._near = near
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setblocking(False)
        connection.bind((relay.address[0], 0))
        connection.connect_ex(relay.target)
        self._far = reactor.Stream(relay.loop, connection, is_connected=False)
        near.on_data = lambda data: self._pass(self._far, data)
        self._far.on_data = self._answer
        near.on_close = lambda _: self.close()
        self._far.on_close = lambda _: self._end_near()

    @property
    def is_closed(self) -> bool:
        """Whether it has ended."""
        return self._near.is_closed

    def close(self) -> None:
        """End both sides."""
        self._near.close()
        self._far.close()

    def _end_near(self) -> None:
        if not self.is_silent:
            self._near.close()

    def _answer(self, data: bytes) -> None:
        if not self._relay.is_one_way:
            self._pass(self._near, data)

    def _pass(self, stream: reactor.Stream, data: bytes) -> None:
        if self.is_silent:
            return
        delay = self._relay.delay_seconds
        if delay:
            self._relay.loop.call_later(delay, lambda: stream.write(data))
        else:
            stream.write(data)
