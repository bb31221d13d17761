"""Log lines, counters and histograms of one instance."""

from __future__ import annotations

import collections
from collections.abc import Callable

from skylarkfold import affinity
from skylarkfold import deferred_log
from skylarkfold.forwarder import _metrics
from skylarkfold.forwarder import _settings
from skylarkfold import histogram

_logger = deferred_log.LOGGER


class Reporter:
    """Writes log lines and keeps the daemon's counters and histograms.

    :param instance: the instance's name.
    :param settings: limits of the log.
    :param list_counters: returns the counters of the platform's adapter.

    Lines are buffered until :meth:`start_writing` is called.
    """

    __slots__ = (
        '_handler',
        '_instance',
        '_list_counters',
        '_lost_since',
        '_settings',
        'counters',
        'histograms',
    )

    def __init__(
        self,
        instance: str,
        settings: _settings.LogSettings,
        list_counters: Callable[[], dict[str, int]],
    ) -> None:
        self._instance = instance
        self._list_counters = list_counters
        self._settings = settings
        self._handler: object = None
        _logger.hold(settings.waiting_lines)
        self._lost_since: dict[str, float] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self.histograms = {
            name: histogram.Histogram()
            for name in (_metrics.LAG_SECONDS, _metrics.STORE_SECONDS)
        }

    def count(self, name: str) -> None:
        """Increment a counter.

        :param name: the counter's name, see ``_metrics``.
        """
        self.counters[name] += 1

    def log(
        self, message: str, level: int = deferred_log.INFO, **fields: object
    ) -> None:
        """Write a line about the process.

        :param message: the kind of event.
        :param level: a level of ``deferred_log``.
        :param fields: the fields of the line.
        """
        _logger.log(level, message, fields=fields)

    def record(self, decision: affinity.RecordDecision) -> None:
        """Write a line about a decision.

        :param decision: the decision.
        """
        fields: dict[str, object] = {'reason': decision.reason}
        if decision.flow:
            fields['flow'] = affinity.format_flow(decision.flow)
        if decision.upstream:
            fields['upstream'] = decision.upstream
        fields.update(decision.details)
        _logger.log(
            deferred_log.INFO,
            decision.kind,
            fields=fields,
            is_budgeted=bool(decision.flow),
        )

    def report_dependency(self, now: float, name: str, reason: str) -> None:
        """Write a line when a dependency becomes unavailable or available.

        :param now: the time.
        :param name: the dependency.
        :param reason: why it is unavailable; empty if it is available.
        """
        lost_at = self._lost_since.get(name)
        if reason and lost_at is None:
            self._lost_since[name] = now
            self.log(
                'dependency',
                deferred_log.WARNING,
                name=name,
                reason='lost',
                cause=reason,
            )
        elif not reason and lost_at is not None:
            del self._lost_since[name]
            outage_ms = int((now - lost_at) * 1000)
            self.log(
                'dependency', name=name, reason='regained', away_ms=outage_ms
            )

    def start_writing(self) -> None:
        """Set up the log handler and write the buffered lines to it."""
        if self._handler is None:
            from skylarkfold.forwarder import _lines

            self._handler = _lines.configure(self._instance, self._settings)
            _logger.release()

    def flush(self) -> None:
        """Write queued lines as far as possible without blocking."""
        if self._handler is not None:
            self._handler.flush()

    def format_metrics(
        self, core: affinity.AffinityCore, gauges: dict[str, float]
    ) -> bytes:
        """Format all metrics.

        :param core: the affinity core, which has counters of its own.
        :param gauges: current values by name.
        :returns: the text.
        """
        totals = self.list_totals(core)
        histograms = {**core.tally.histograms, **self.histograms}
        return _metrics.format_metrics(totals, gauges, histograms)

    def list_totals(self, core: affinity.AffinityCore) -> dict[str, int]:
        """Return the totals of all counters.

        :param core: the affinity core, which has counters of its own.
        :returns: totals by name.
        """
        totals = {
            **core.tally.counters,
            **self.counters,
            **self._list_counters(),
        }
        dropped = _logger.dropped
        if self._handler is not None:
            dropped += self._handler.dropped
        totals[_metrics.LINES_LEFT_OUT] = dropped
        return dict(sorted(totals.items()))
