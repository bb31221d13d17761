"""Child processes that announce when they are ready."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

READY_WORD = 'ready'
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 3.0


class ProcessError(Exception):
    """A child process did not start or failed."""


class Process:
    """One child process of this interpreter.

    :param name: what messages call it.
    :param arguments: the interpreter's arguments.
    :param log: a file for its standard error.
    """

    def __init__(
        self, name: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        self.name = name
        self._arguments = arguments
        self._log = log
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> str:
        """Start it and wait until it says that it is ready.

        :returns: the rest of the line that says so.
        :raises ProcessError: if it ends or takes too long.
        """
        with self._log.open('ab') as errors:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                env=os.environ | {'PYTHONUNBUFFERED': '1'},
            )
        try:
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                return await self._wait_until_ready()
        except TimeoutError:
            await self.stop()
            raise ProcessError(f'{self.name} is not ready in time') from None

    async def _wait_until_ready(self) -> str:
        while line := await self._process.stdout.readline():
            word, _, rest = line.decode().strip().partition(' ')
            if word == READY_WORD:
                return rest
        status = await self._process.wait()
        tail = self._log.read_text()[-2000:]
        raise ProcessError(f'{self.name} ended with {status}: {tail}')

    @property
    def pid(self) -> int:
        """Its process number."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Tell whether it was started and did not end."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal; nothing happens if it has ended."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait for its end.

        :returns: its exit status.
        """
        return await self._process.wait()

    async def stop(self) -> None:
        """Ask it to end, and kill it if it does not in time."""
        if not self.is_running:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await self.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.wait()


async def run_command(
    arguments: list[str], timeout_seconds: float = START_TIMEOUT_SECONDS
) -> tuple[int, str]:
    """Run a command of this interpreter to its end.

    :param arguments: the interpreter's arguments.
    :param timeout_seconds: when to kill it.
    :returns: its exit status, and what it wrote.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        async with asyncio.timeout(timeout_seconds):
            output, _ = await process.communicate()
    except TimeoutError:
        process.kill()
        await process.wait()
        raise ProcessError(f'{arguments} took too long') from None
    return process.returncode, output.decode(errors='replace')
