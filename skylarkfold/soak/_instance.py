"""Instance that runs as a child process."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys

from skylarkfold import reactor
from skylarkfold.standin import packets

_RESTART_SECONDS = 0.3
_POLL_SECONDS = 0.05
# Offset of the metrics port from the base port.
_METRICS_OFFSET = 9


class Instance:
    """Instance process that is restarted whenever it exits.

    :param loop: the event loop.
    :param folder: the folder of its settings and its log.
    :param name: the instance's name.
    :param zone: its availability zone.
    :param host: its IP address.
    :ivar settings_path: the path of the platform's settings file.
    :ivar unexpected_exits: exit statuses of exits that no signal caused.
    :ivar is_restarted: whether the process is restarted when it exits.
    :ivar output: the file descriptor for standard output; None for the log
        file.
    """

    def __init__(
        self,
        loop: reactor.Loop,
        folder: pathlib.Path,
        name: str,
        zone: str,
        host: str,
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.unexpected_exits: list[int] = []
        self.is_restarted = True
        self.output: int | None = None
        self._loop = loop
        self.settings_path = folder / f'{name}.settings'
        self._process_settings_path = folder / f'{name}.json'
        self._log_path = folder / f'{name}.log'
        self._process: subprocess.Popen | None = None
        self._is_exit_expected = False
        self._settings: tuple = ()

    def configure(
        self,
        base_port: int,
        seeds: list[str],
        store: tuple[str, int],
        zones: list[str],
    ) -> None:
        """Write the settings files.

        :param base_port: the first of the ports, the same on every instance.
        :param seeds: hosts of the first peers to contact.
        :param store: the store's address.
        :param zones: all availability zones.
        """
        self._settings = (base_port, seeds, store, zones)
        packets.write_settings(
            self.settings_path,
            self.name,
            self.zone,
            self.host,
            *self._settings,
            terms=(packets.SHARES_TERM,),
        )
        process_settings = {'metrics_port': self.metrics_address[1]}
        self._process_settings_path.write_text(json.dumps(process_settings))

    @property
    def metrics_address(self) -> tuple[str, int]:
        """Host and port of the metrics endpoint."""
        return self.host, self._settings[0] + _METRICS_OFFSET

    def start(self) -> None:
        """Start the process and poll for its exit."""
        environment = dict(
            os.environ, SKYLARKFOLD_CONFIG=str(self.settings_path)
        )
        command = [sys.executable, '-m', 'skylarkfold.platform']
        command.append(str(self._process_settings_path))
        with open(self._log_path, 'ab') as log:
            self._process = subprocess.Popen(
                command,
                env=environment,
                stdout=log if self.output is None else self.output,
                stderr=log,
            )
        self._is_exit_expected = False
        self._loop.call_later(_POLL_SECONDS, self._check_process)

    def send(self, number: int) -> None:
        """Send a signal to the process if it is running.

        :param number: the signal's number.
        """
        if self._process is None or self._process.poll() is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._is_exit_expected = True
        self._process.send_signal(number)

    def truncate_settings(self, seconds: float) -> None:
        """Truncate the settings file to half, then write it back.

        :param seconds: the time until it is written back.
        """
        contents = self.settings_path.read_text()
        self.settings_path.write_text(contents[: len(contents) // 2])
        self._loop.call_later(
            seconds, lambda: self.settings_path.write_text(contents)
        )

    def end(self) -> None:
        """Kill the process and do not restart it."""
        self.is_restarted = False
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def read_log(self) -> str:
        """Return the log of all processes of this instance."""
        if not self._log_path.exists():
            return ''
        return self._log_path.read_text(errors='replace')

    def _check_process(self) -> None:
        status = self._process.poll()
        if status is None:
            self._loop.call_later(_POLL_SECONDS, self._check_process)
            return
        if not self._is_exit_expected:
            self.unexpected_exits.append(status)
        if self.is_restarted:
            self._loop.call_later(_RESTART_SECONDS, self._restart)

    def _restart(self) -> None:
        if self.is_restarted:
            self.start()
