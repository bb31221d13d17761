"""Whether a request may have run."""

from __future__ import annotations

import enum


class Verdict(enum.StrEnum):
    """What is known about the execution of one request.

    ``NOT_RUN`` is guaranteed: the request was never dispatched, or the
    upstream reported that it refused it before running it. If that can't be
    proved, the verdict is ``MAY_HAVE_RUN``.
    """

    RAN = 'ran'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
