"""Patterns of heavy load, each with the grounds for its figures.

The site of most patterns is a small one: seven instances and seven
upstreams of two slots in three availability zones. Two kinds of requests
share the upstreams. *Live* ones come on flows that callers keep open, ask
for 22 ms of work and are worth 1 if answered within 120 ms; *reports* open
a flow each, ask for 29 ms, may run once at most and are worth 2 within
150 ms. At rest they take 31% of the slots. These are the figures of a user
whose upstreams serve both; what they stand for is that a kind that can be
refused competes with one that can't be.
"""

from __future__ import annotations

import dataclasses

from skylarkfold import affinity

LIVE = 'live'
REPORT = 'report'
SERVICE = 'charts'
ZONES = ('zone-a', 'zone-b', 'zone-c')

# How long a pattern is played, and when its trouble begins: views and open
# flows are those of a calm service by then.
SECONDS = 16.0
TROUBLE_AT = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of requests.

    :param name: what it is called.
    :param port: of the address that its callers use.
    :param per_second: requests at rest, from all callers.
    :param work_seconds: mean time in a slot.
    :param work_sigma: spread of it, of a lognormal distribution.
    :param aim_seconds: an answer by then earns ``worth``.
    :param deadline_seconds: an answer by then earns ``late_worth``, later
        the caller has given up.
    :param priority: 0 goes first.
    :param is_held: whether flows stay open between requests.
    :param is_idempotent: whether a request may run more than once.
    :param request_bytes: of a request.
    :param answer_bytes: of an answer.
    """

    name: str
    port: int
    per_second: float
    work_seconds: float
    aim_seconds: float
    deadline_seconds: float
    worth: float
    late_worth: float
    priority: int
    is_held: bool
    is_idempotent: bool
    request_bytes: int
    answer_bytes: int
    work_sigma: float = 0.5

    @property
    def address(self) -> bytes:
        """The address that its callers use, packed."""
        return affinity.pack_address('198.51.100.1', self.port)


KINDS = (
    Kind(LIVE, 443, 146.0, 0.022, 0.12, 0.8, 1, 0.3, 2, True, True, 200, 2000),
    Kind(
        REPORT, 8443, 41.7, 0.029, 0.15, 1.0, 2, 0.6, 1, False, False, 900, 600
    ),
)


class Change:
    """What a trouble does to whom."""

    # Upstreams.
    SLOW = 'slow'
    HANG = 'hang'
    ERRORS = 'errors'
    JOIN = 'join'
    RELEASE = 'release'
    COLD_RETURN = 'cold-return'
    # Callers and instances.
    BURST = 'burst'
    CUT = 'cut'
    OUTAGE = 'outage'
    # Availability zones.
    EVACUATE = 'evacuate'
    LOSS = 'loss'


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """Something that happens.

    :param change: one of :class:`Change`.
    :param at: when it begins, in seconds.
    :param seconds: how long it lasts.
    :param times: of a burst the rate, of slow upstreams the time that work
        takes, each as a multiple; of failing ones the share of requests; of
        a release how many are replaced in a second.
    :param count: upstreams that it strikes or that join.
    :param zone: only callers or upstreams of this zone; empty for all.
    :param kind: only requests of this kind; empty for all.
    """

    change: str
    at: float = TROUBLE_AT
    seconds: float = 6.0
    times: float = 1.0
    count: int = 0
    zone: str = ''
    kind: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load and what happens to it.

    :param name: what it is called.
    :param grounds: where its figures come from.
    :param troubles: what happens.
    :param kinds: the requests.
    :param slots: of each upstream; zones take turns.
    :param speeds: of each upstream, relative to others; empty where all are
        equal.
    :param instances: how many; zones take turns.
    :param retries: further tries of a caller.
    :param retry_seconds: its pause before each.
    :param swing: by which share the rate of each zone rises and falls, each
        at another time.
    """

    name: str
    grounds: str
    troubles: tuple[Trouble, ...] = ()
    kinds: tuple[Kind, ...] = KINDS
    slots: tuple[int, ...] = (2,) * 7
    speeds: tuple[float, ...] = ()
    instances: int = 7
    retries: int = 2
    retry_seconds: float = 0.002
    swing: float = 0.0

    @property
    def began_at(self) -> float:
        """When its trouble begins."""
        return min((each.at for each in self.troubles), default=TROUBLE_AT)

    @property
    def ended_at(self) -> float:
        """When its trouble is over."""
        ends = [each.at + each.seconds for each in self.troubles]
        return max(ends, default=SECONDS)


# Of another user, later: the same work, an aim of a quarter of a second, and
# reports that go over flows that callers keep open, too.
_POOLED_KINDS = (
    Kind(LIVE, 443, 146.0, 0.022, 0.25, 1.5, 1, 0.3, 2, True, True, 200, 1000),
    Kind(
        REPORT, 8443, 72.0, 0.029, 0.3, 1.5, 2, 0.6, 1, True, False, 900, 600
    ),
)
# Three upstreams in each zone, so that two zones can bear the third's load.
_EVEN_SLOTS = (2,) * 9
_SWING = 0.27
# Bought in three years: each zone has one of each.
_SPEEDS = (0.6, 1.0, 1.6, 1.0, 1.6, 0.6, 1.6, 0.6, 1.0)


def _burst(times: float, **fields: object) -> Trouble:
    return Trouble(Change.BURST, times=times, **fields)


_BAD_IN_BURST = (
    'one of seven is bad, as after a failed release, in a burst that fills '
    '92% of the slots of the other six'
)
PATTERNS: tuple[Pattern, ...] = (
    Pattern('calm', 'the load at rest: 31% of the slots'),
    Pattern(
        'burst-1.5',
        'the daily peak that operators plan for: 47% of the slots',
        (_burst(1.5),),
    ),
    Pattern(
        'burst-2.5',
        'what a news item brings: 79% of the slots, so all can be served',
        (_burst(2.5),),
    ),
    Pattern(
        'burst-4',
        'beyond the slots: 126% of them, some must be refused',
        (_burst(4.0),),
    ),
    Pattern(
        'burst-5',
        'far beyond the slots: 158%, so that live requests on open flows '
        'alone, which nobody can refuse, take all of them',
        (_burst(5.0),),
    ),
    Pattern(
        'burst-zone',
        'one of three zones calls six times as often, which makes 2.7 times '
        'as often in all: more than its own upstreams take, not more than '
        'all do',
        (_burst(6.0, zone=ZONES[0]),),
    ),
    Pattern(
        'burst-live',
        'one kind alone; 4 times makes 100% of the slots',
        (_burst(4.0, kind=LIVE),),
    ),
    Pattern(
        'burst-report',
        'the other kind alone; 8 times makes 92% of the slots',
        (_burst(8.0, kind=REPORT),),
    ),
    Pattern(
        'burst-twice',
        'a burst that comes back after two seconds, before what was learnt '
        'from it is out of date',
        (
            _burst(4.0, seconds=2.5),
            _burst(4.0, at=TROUBLE_AT + 4.5, seconds=2.5),
        ),
    ),
    Pattern(
        'outage',
        'all instances start anew: 1.5 s without any, then all callers at '
        'once',
        (Trouble(Change.OUTAGE, seconds=1.5),),
    ),
    Pattern(
        'retry-storm',
        'as burst-4 with callers that try five times in place of three, at '
        'once',
        (_burst(4.0),),
        retries=4,
    ),
    Pattern(
        'slow',
        'two of seven upstreams take five times as long, as after a bad '
        'release; the rest could serve all',
        (Trouble(Change.SLOW, times=5.0, count=2),),
    ),
    Pattern(
        'hang',
        'one of seven accepts flows and answers no request',
        (Trouble(Change.HANG, times=1.0, count=1),),
    ),
    Pattern(
        'half-hang',
        'one of seven answers only six requests in ten',
        (Trouble(Change.HANG, times=0.4, count=1),),
    ),
    Pattern(
        'half-errors',
        'one of seven fails four requests in ten at once',
        (Trouble(Change.ERRORS, times=0.4, count=1),),
    ),
    Pattern(
        'slow-burst',
        _BAD_IN_BURST,
        (_burst(2.5), Trouble(Change.SLOW, times=5.0, count=1)),
    ),
    Pattern(
        'hang-burst',
        _BAD_IN_BURST,
        (_burst(2.5), Trouble(Change.HANG, times=1.0, count=1)),
    ),
    Pattern(
        'errors-burst',
        _BAD_IN_BURST,
        (_burst(2.5), Trouble(Change.ERRORS, times=0.4, count=1)),
    ),
    Pattern(
        'cold',
        'four newcomers at once beside seven, 1.6 times slower for 2 s, as '
        "measured on a user's upstreams, in a burst that makes them needed",
        (_burst(3.5), Trouble(Change.JOIN, count=4)),
    ),
    Pattern(
        'release-burst',
        'a release that replaces three of seven one by one in a burst',
        (_burst(2.5), Trouble(Change.RELEASE, count=3)),
    ),
    Pattern(
        'cut-burst',
        'a zone is cut off from the others in a burst that its own slots '
        'could take at rest only',
        (_burst(2.0), Trouble(Change.CUT, zone=ZONES[1])),
    ),
    Pattern(
        'evacuated',
        'a zone is emptied at 29% of all slots while zones swing by 27%, as '
        'users measured theirs; two thirds of the slots can bear it, and the '
        'zone is taken back cold',
        (Trouble(Change.EVACUATE, zone=ZONES[0], seconds=5.0),),
        kinds=_POOLED_KINDS,
        slots=_EVEN_SLOTS,
        instances=9,
        swing=_SWING,
    ),
    Pattern(
        'evacuated-burst',
        'the same in a burst of 2 that takes 89% of the slots that are left',
        (
            Trouble(Change.EVACUATE, zone=ZONES[0], seconds=5.0),
            _burst(2.0, at=TROUBLE_AT + 1.0, seconds=5.0),
        ),
        kinds=_POOLED_KINDS,
        slots=_EVEN_SLOTS,
        instances=9,
        swing=_SWING,
    ),
    Pattern(
        'zone-cold',
        'the upstreams of a zone end and are back cold after 4 s, in a burst '
        'of 1.7 that takes 76% of the slots that are left',
        (
            Trouble(Change.COLD_RETURN, zone=ZONES[0], seconds=4.0),
            _burst(1.7, at=TROUBLE_AT + 2.0, seconds=5.0),
        ),
        kinds=_POOLED_KINDS,
        slots=_EVEN_SLOTS,
        instances=9,
        swing=_SWING,
    ),
    Pattern(
        'zone-lost',
        'a zone loses power, upstreams and instances at once, and is back '
        'cold after 4 s',
        (Trouble(Change.LOSS, zone=ZONES[0], seconds=4.0),),
        kinds=_POOLED_KINDS,
        slots=_EVEN_SLOTS,
        instances=9,
        swing=_SWING,
    ),
    Pattern(
        'release-many',
        'a release that replaces six of nine within two seconds, the new '
        'ones cold, in a burst that takes 73% of all slots',
        (_burst(2.5), Trouble(Change.RELEASE, count=6, times=3.0)),
        kinds=_POOLED_KINDS,
        slots=_EVEN_SLOTS,
        instances=9,
        swing=_SWING,
    ),
    Pattern(
        'unequal',
        'upstreams of one to four slots, as on a site that was bought in '
        'three years, in a burst that fills 79% of the slots',
        (_burst(2.5),),
        slots=(1, 4, 1, 2, 3, 1, 2),
    ),
    Pattern(
        'speeds',
        'upstreams of one service on machines of three ages, which do 0.6, 1 '
        'and 1.6 times the usual work, in a burst that takes 69% of it',
        (_burst(3.0),),
        slots=_EVEN_SLOTS,
        speeds=_SPEEDS,
    ),
    Pattern(
        'speeds-slow',
        'the same while two of the nine take six times as long, as beside '
        "another's work on their machines, at 69% of what the others do",
        (_burst(2.5), Trouble(Change.SLOW, times=6.0, count=2)),
        slots=_EVEN_SLOTS,
        speeds=_SPEEDS,
    ),
    Pattern(
        'unequal-work',
        'requests of 80 ms beside ones of 8 ms, with one worth for both, '
        'in a burst to 121% of the slots',
        (_burst(4.0),),
        kinds=(
            Kind(
                LIVE,
                443,
                146.0,
                0.008,
                0.12,
                0.8,
                1,
                0.3,
                1,
                True,
                True,
                200,
                2000,
            ),
            Kind(
                REPORT,
                8443,
                38.0,
                0.080,
                0.4,
                2.0,
                1,
                0.3,
                1,
                False,
                False,
                900,
                600,
            ),
        ),
    ),
)
