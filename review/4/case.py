"""One unreadable entry of another writer, then a backend drains."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import loopback  # noqa: E402

ZONES = {'hall-a': 3, 'hall-b': 2, 'hall-c': 2}
SERVICES = {'press-desk': 7, 'plano-vault': 3}
ALERT = ('198.51.100.1', 443)
DRAWING = ('198.51.100.2', 443)
ROUTES = [
    (ALERT, 'press-desk', 'idempotent'),
    (DRAWING, 'plano-vault', 'download'),
]
DRAIN_SECONDS = loopback.BOUNDS['drain_ms'] / 1000
# How long the machines run undisturbed before anything happens.
SETTLE_SECONDS = 5.0
PER_SECOND = 40
TRAFFIC_SECONDS = 18
ENTRY_AT = 2.0
DRAIN_AT = 5.0
# The backend goes on serving for a while after its time to drain.
EXIT_AFTER = DRAIN_SECONDS + 6.0

# What the other writer writes: bytes that can't be read in a text, and a
# field of another type, which is valid JSON.
ENTRIES = {
    'unreadable bytes': b'{"service":"press-desk","note":"\x00\x01\x9f\x02"}',
    'a long number': b'{"service":"press-desk","sequence":%s}' % (b'9' * 5000),
}


async def play(record, title, entry):
    """Play the case once.

    :param entry: what the other writer writes; None for nothing.
    :returns: whether the rule was broken.
    """
    record.write(f'== {title}')
    deployment = loopback.Deployment(FOLDER, record)
    try:
        await deployment.start(ZONES, SERVICES, ROUTES)
        await asyncio.sleep(SETTLE_SECONDS)
        traffic = asyncio.ensure_future(
            loopback.send_requests(
                deployment, ALERT, PER_SECOND, TRAFFIC_SECONDS
            )
        )
        await asyncio.sleep(ENTRY_AT)
        if entry is not None:
            deployment.store.put('servers', 'other-writer', entry)
            record.write('another writer has written servers/other-writer')
        await asyncio.sleep(DRAIN_AT - ENTRY_AT)
        await deployment.add_backend('press-desk', 'hall-a', 50)
        await asyncio.sleep(1.0)
        leaving = deployment.backends[0]
        leaving.drain()
        await asyncio.sleep(EXIT_AFTER)
        leaving.leave()
        await traffic
    finally:
        deployment.end()
    return judge(deployment, leaving)


def judge(deployment, leaving):
    """Write what was seen; return whether DRAIN was broken."""
    record = deployment.record
    bound = leaving.drained_at + DRAIN_SECONDS
    late = [
        (came_at, attempt)
        for came_at, backend, attempt in deployment.opened
        if backend is leaving
        and came_at > bound
        and deployment.runs.get(attempt)
    ]
    for came_at, attempt in late:
        after = came_at - leaving.drained_at
        record.write(
            f'DRAIN: request {attempt} reached {leaving.name} {after:.3f} s '
            'after its report was acknowledged, and was run there'
        )
    outcomes = {}
    for outcome in deployment.outcomes.values():
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
    new = deployment.backends[-1]
    ends = sum(each.ends for each in deployment.instances)
    record.write(
        f'sent {len(deployment.sent)}, outcomes {outcomes}, late at the '
        f'draining backend {len(late)}, flows at the new backend '
        f'{len(new.opened)}, forged {len(deployment.forged)}, processes '
        f'that ended {ends}'
    )
    if outcomes.get('answered', 0) < len(deployment.sent) / 2 or ends:
        raise RuntimeError('the deployment did not serve')
    return bool(late)


def main():
    """Play each entry; return 1 if the rule was broken by one of them."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = loopback.Record(FOLDER / 'record.txt')
    broken = []
    try:
        for title, entry in ENTRIES.items():
            is_broken = asyncio.run(
                play(record, title, entry if has_trouble else None)
            )
            record.write(
                f'== {title}: DRAIN {"broken" if is_broken else "held"}'
            )
            broken.append(is_broken)
    except Exception as error:
        record.write(f'the case could not run: {error!r}')
        return 2
    finally:
        record.close()
    print(time.strftime('%H:%M:%S'), dict(zip(ENTRIES, broken)))
    return 1 if any(broken) else 0


if __name__ == '__main__':
    sys.exit(main())
