"""HTTP client sessions that send each request once."""

from __future__ import annotations

from typing import Any

import aiohttp


def make_session(**options: Any) -> aiohttp.ClientSession:
    """Make a session that never repeats a request on its own.

    The library repeats an idempotent request whose connection ended
    without an answer. The node could then not tell what ran, and a
    conditional write whose answer was lost would look like a conflict.

    :param options: what :class:`aiohttp.ClientSession` takes.
    :returns: the session.
    """
    session = aiohttp.ClientSession(**options)
    # There is no public switch; a test checks that this one still works.
    session._retry_connection = False
    return session
