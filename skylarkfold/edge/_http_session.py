"""HTTP client sessions without automatic retries."""

from __future__ import annotations

from typing import Any

import aiohttp


def make_session(**options: Any) -> aiohttp.ClientSession:
    """Create a client session that never retries a request by itself.

    aiohttp retries an idempotent request whose connection closed without
    an answer. The node could then not tell which attempt ran, and a
    conditional write whose answer was lost would look like a conflict.

    :param options: arguments of :class:`aiohttp.ClientSession`.
    :returns: the session.
    """
    session = aiohttp.ClientSession(**options)
    # aiohttp has no public option; a test detects if this one stops working.
    session._retry_connection = False
    return session
