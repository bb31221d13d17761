"""Settings of the distribution."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DistributionSettings:
    """Settings of the watch, the fetches and the retained objects.

    :param prefix: the path prefix watched at the platform.
    :param kept_prefixes: objects outside these prefixes are dropped.
    :param retained_prefixes: prefixes of objects that operators write. If
        a store restored from an older copy lacks such an object or has an
        older version, the known version stays in force until the object
        is written again.
    :param retain_seconds: how long it stays in force at most, while the
        platform confirms the restored state. A change is in force everywhere
        within 13 s.
    :param watchers: how many instances of a zone watch the platform.
    :param substitutes: how many more watch it while the last confirmation
        is older than ``silence_seconds``.
    :param wait_seconds: how long the platform may hold a watch open.
    :param call_timeout_seconds: how long to wait for an answer, in addition
        to that.
    :param least_backoff_seconds: the first pause after a failed call.
    :param most_backoff_seconds: the longest pause between failed calls.
    :param silence_seconds: time without confirmation by the platform after
        which substitutes watch; also the minimum time between listings
        that mismatches with peers cause.
    :param announce_seconds: how often to announce the position to the
        neighbours.
    :param fetch_timeout_seconds: how long to wait for a page before trying
        another peer.
    :param page_bytes: maximum size of a page, unless the objects of a
        single revision are larger.
    :param serve_bytes_per_second: bandwidth for answering fetches.
    :param serve_count: maximum number of pending fetches.
    :param tombstones: maximum number of deletions to remember.
    :param pause_seconds: a longer time between two ticks means that the
        process was paused and has to sync with others before it is ready.
    :param relearn_seconds: how long it waits for that at most.
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
