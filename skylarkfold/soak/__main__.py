"""The soak's command line.

    python -m skylarkfold.soak --seeds 1,2,3 [--seconds 20] [--planned]
    python -m skylarkfold.soak --first 100 --count 50
    python -m skylarkfold.soak --seeds 1 --instances 60

Exit status 1 where a promise was broken.
"""

from __future__ import annotations

import pathlib
import sys
import tempfile

import fire

from skylarkfold import soak


def run(
    seeds: str | int | tuple[int, ...] = (),
    first: int = 1,
    count: int = 0,
    seconds: float = 20.0,
    planned: bool = False,
    restarts: bool = True,
    evacuations: bool = True,
    returns: bool = True,
    presses: bool = True,
    instances: int = soak.INSTANCES,
    keep: str = '',
) -> None:
    """Run some seeds, one after the other.

    :param seeds: the seeds.
    :param first: the first of a row of seeds.
    :param count: how many of that row.
    :param seconds: how long traffic lasts in each.
    :param planned: only planned work; nothing may fail then.
    :param restarts: upstreams also start again under their names, and other
        writers leave entries.
    :param evacuations: zones are emptied and taken back.
    :param returns: the store comes back from older copies.
    :param presses: callers press and links lose packets.
    :param instances: how many processes there are, over three zones.
    :param keep: a folder for settings and logs; one that is thrown away
        where left out.
    """
    chosen = list(seeds) if isinstance(seeds, tuple) else [seeds]
    if isinstance(seeds, str):
        chosen = [int(each) for each in seeds.split(',') if each]
    chosen += range(first, first + count)
    failed = 0
    for seed in chosen:
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(keep or scratch)
            folder.mkdir(parents=True, exist_ok=True)
            result = soak.run_seed(
                seed,
                folder,
                seconds,
                planned,
                restarts,
                evacuations,
                returns,
                presses,
                instances,
            )
        word = 'broken' if result.broken else 'held'
        print(f'seed {seed}: {word}, {result.outcomes}', flush=True)
        if result.broken:
            failed += 1
            for step in result.plan:
                print(f'  plan: {step}')
            for line in result.broken[:20]:
                print(f'  broken: {line}')
    print(f'{len(chosen)} seeds, {failed} broken')
    if failed or not chosen:
        sys.exit(1)


if __name__ == '__main__':
    fire.Fire(run, name='skylarkfold.soak')
