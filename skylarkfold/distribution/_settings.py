"""Settings of the distribution."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DistributionSettings:
    """How objects reach every instance.

    :param prefix: what is watched at the platform, as one stream.
    :param kept_prefixes: objects elsewhere are dropped on arrival.
    :param retained_prefixes: objects that operators write: one that the
        store, back from an older copy, lacks or has in an older form stays as
        it was until it is written again.
    :param retain_seconds: or until the store has said after so long that it
        still isn't: within 13 s a change is in force everywhere.
    :param watchers: how many instances of a zone watch the platform.
    :param substitutes: how many more may watch while no news comes.
    :param wait_seconds: how long the platform may hold a watch.
    :param call_timeout_seconds: how long to wait beyond that.
    :param least_backoff_seconds: the first pause after a failed call.
    :param most_backoff_seconds: the longest pause between failed calls.
    :param silence_seconds: without any news of the platform for so long,
        substitutes begin to watch.
    :param announce_seconds: how often neighbours are told the position.
    :param fetch_timeout_seconds: a peer that does not answer a fetch for
        so long is passed over.
    :param page_bytes: how much one answer to a fetch may carry; a single
        larger object still goes whole.
    :param serve_bytes_per_second: what is spent on answering fetches.
    :param serve_count: how many fetches may wait to be answered.
    :param tombstones: how many deletions are remembered.
    :param pause_seconds: a longer time between two ticks means that the
        process was paused and must hear from others before it is ready.
    :param relearn_seconds: how long it waits for that.
    """

    prefix: str = '/'
    kept_prefixes: tuple[str, ...] = (
        '/teams/',
        '/claims/',
        '/tables/',
        '/leases/',
    )
    retained_prefixes: tuple[str, ...] = ('/teams/', '/claims/')
    retain_seconds: float = 15.0
    watchers: int = 2
    substitutes: int = 2
    wait_seconds: float = 10.0
    call_timeout_seconds: float = 5.0
    least_backoff_seconds: float = 0.5
    most_backoff_seconds: float = 15.0
    silence_seconds: float = 30.0
    announce_seconds: float = 2.0
    fetch_timeout_seconds: float = 1.0
    page_bytes: int = 256 * 1024
    serve_bytes_per_second: int = 4 * 1024 * 1024
    serve_count: int = 64
    tombstones: int = 1000
    pause_seconds: float = 5.0
    relearn_seconds: float = 5.0
