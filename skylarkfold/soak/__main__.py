"""Command line of the soak test.

    python -m skylarkfold.soak --seeds 1,2,3 [--seconds 20] [--planned]
    python -m skylarkfold.soak --first 100 --count 50
    python -m skylarkfold.soak --seeds 1 --instances 60

The exit status is 1 if an invariant was violated or no seed was given.
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
    routes: bool = True,
    damage: bool = True,
    instances: int = soak.INSTANCES,
    keep: str = '',
) -> None:
    """Run seeds one after another.

    :param seeds: the seeds to run.
    :param first: the first seed of a consecutive range.
    :param count: the number of seeds in that range.
    :param seconds: the duration of the traffic for each seed.
    :param planned: run only planned operations; no request may fail.
    :param restarts: also restart upstreams under their names and write
        invalid entries to the store.
    :param evacuations: also evacuate zones and end the evacuations.
    :param returns: also restore the store from older copies.
    :param presses: also overload instances with requests from one caller
        and drop packets.
    :param routes: also add and drop used routes while instances are
        restarted.
    :param damage: also write store entries that are not valid JSON.
    :param instances: the number of instances, spread over three zones.
    :param keep: the folder for settings and logs; a temporary one if empty.
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
                routes,
                damage,
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
