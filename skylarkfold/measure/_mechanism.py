"""The mechanisms of placement and refusal, and the settings without each."""

from __future__ import annotations

import json
import pathlib

import json5

from skylarkfold import files
from skylarkfold import forwarder

# The name of a run, or file, with all mechanisms.
WITH_ALL = 'none'
# More than any estimate or load.
_NEVER = 1e6


class Mechanism:
    """One mechanism that settings can switch off.

    :param title: what it is called in tables.
    :param without: the settings that switch it off.
    """

    __slots__ = ('title', 'without')

    def __init__(self, title: str, without: dict[str, float]) -> None:
        self.title = title
        self.without = without


# By the name that files and runs have.
MECHANISMS: dict[str, Mechanism] = {
    'refusal': Mechanism(
        'refusal',
        {
            'crowd_share': _NEVER,
            'crowd_limit': 2 * _NEVER,
            'preferred_share': _NEVER,
            'preferred_limit': 2 * _NEVER,
        },
    ),
    'preferred': Mechanism(
        'preferred routes', {'preferred_share': 0.5, 'preferred_limit': 0.7}
    ),
    'room': Mechanism('room for short requests', {'length_weight': 1.0}),
    'hasty': Mechanism('no draw to hasty upstreams', {'haste_weight': 0.0}),
    'speeds': Mechanism('speeds learnt', {'speed_tolerance': 0.0}),
    'unseen': Mechanism(
        'loads as far as they are known', {'unseen_trust': 0.0}
    ),
    'loads': Mechanism('loads of peers', {'load_seconds': 0.0}),
    # Below any load; files hold no negative number, so that a file has 0:
    # the zone is preferred up to the mean only.
    'near': Mechanism('preference for the zone', {'near_tolerance': -1.0}),
    'crowded': Mechanism('leaving a crowded zone', {'near_tolerance': _NEVER}),
    'hedges': Mechanism('hedged first packets', {'open_tries': 1}),
    'doubts': Mechanism(
        'doubts',
        {'answer_patience_seconds': 60, 'longest_patience_seconds': 60},
    ),
    'avoiding': Mechanism(
        'avoiding what answers probes only', {'full_seconds': 0.0}
    ),
}


def write_settings(
    own: str | pathlib.Path, into: str | pathlib.Path
) -> list[str]:
    """Write a file of own settings without each mechanism.

    :param own: the settings with all of them; comments are left out.
    :param into: the folder, made if need be.
    :returns: the files, the first one with all mechanisms.
    :raises SettingsError: if the settings can't be read.
    """
    folder = pathlib.Path(into)
    folder.mkdir(parents=True, exist_ok=True)
    # Raises what is wrong with it.
    forwarder.read_forwarder_settings(str(own))
    fields = json5.loads(files.read_bytes(str(own)).decode())
    written = []
    for name, without in {WITH_ALL: {}, **_list_without()}.items():
        section = {**fields.get('affinity', {}), **without}
        path = folder / f'{name}.json'
        path.write_text(json.dumps({**fields, 'affinity': section}, indent=2))
        written.append(str(path))
    return written


def _list_without() -> dict[str, dict[str, float]]:
    return {
        name: {field: max(0, value) for field, value in each.without.items()}
        for name, each in MECHANISMS.items()
    }
