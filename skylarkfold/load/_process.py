"""Child processes that print a line when they are ready."""

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
    """Failure of a child process."""


class Process:
    """Child process that runs the same Python interpreter.

    :param name: the name for messages.
    :param arguments: the arguments of the interpreter.
    :param log: the file for standard error.
    """

    def __init__(
        self, name: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        self.name = name
        self._arguments = arguments
        self._log = log
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> str:
        """Start the process and wait until it is ready.

        :returns: the rest of the line that reports readiness.
        :raises ProcessError: if the process exits or is not ready in time.
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
        """Process ID."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process exits.

        :returns: its exit status.
        """
        return await self._process.wait()

    async def stop(self) -> None:
        """Terminate the process, and kill it if it does not exit in time."""
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
    """Run the same Python interpreter with arguments until it exits.

    :param arguments: the arguments of the interpreter.
    :param timeout_seconds: the time after which it is killed.
    :returns: the exit status and the output.
    :raises ProcessError: if it does not exit in time.
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
