"""The commands of the command line; each imports what it needs."""

from __future__ import annotations

import importlib
import inspect
import pathlib
import pkgutil

from skylarkfold import errors
from skylarkfold import files


def _load(name: str) -> object:
    return importlib.import_module(f'skylarkfold.{name}')


def _name_team(file: str, identity: str, team: str) -> str:
    if team or identity:
        return str(team)
    return pathlib.Path(str(file)).stem


def _read_logs(paths: tuple[str, ...]) -> list[object]:
    if not paths:
        raise errors.UsageError('no log file is named')
    lines: list[object] = []
    for path in paths:
        text = files.read_bytes(str(path))
        lines += _load('explain').read_lines(
            text.decode(errors='replace').split('\n')
        )
    return lines


def _identify(
    identity: str, platform: str, team: str, operator: str
) -> object:
    return _load('_operators').read_identity(
        str(identity), str(platform), str(team), str(operator)
    )


class Commands:
    """A layer-4 load balancer whose instances keep nothing.

    On every entry instance:  skylarkfold entry --settings FILE
    For operators:            check, preview, apply, show, status, drain,
                              undrain
    For tests and benches:    demo, load, measure, report,
                              platform-standin, upstream-standin

    Exit status: 0 done; 1 failed or a promise was not kept; 2 wrong
    usage; 3 settings invalid; 4 another operator was first; 5 the
    platform did not answer; 6 an address is in use; 7 a name or address
    is another team's; 8 no right to it.
    """

    def entry(self, settings: str) -> None:
        """Run one instance until SIGTERM or SIGINT.

        :param settings: the instance's settings file.
        """
        uvloop = importlib.import_module('uvloop')
        read = _load('settings').read_entry_settings(str(settings))
        uvloop.run(_load('daemon').serve(read))

    def check(self, file: str, team: str = '', kind: str = '') -> None:
        """Check a settings file without using it.

        :param file: the file.
        :param team: the team whose subtree the file is; without it, the
            file is an instance's.
        :param kind: what else it is: own, the settings that instances on
            the users' platform take from us; platform, those that the
            platform gives them; deploy, the deploy file.
        """
        settings = _load('settings')
        path = str(file)
        if kind:
            print(f'{path}: {_load("platform.check").check(path, str(kind))}')
            return
        if not team:
            settings.read_entry_settings(path)
            print(f'{path}: a valid instance file')
            return
        text = files.read_bytes(path)
        read = settings.read_team_settings(text, path, str(team))
        print(f'{path}: {len(read.services)} valid services')

    def preview(
        self,
        file: str,
        identity: str = '',
        platform: str = '',
        team: str = '',
        operator: str = '',
    ) -> None:
        """Tell what a settings file would change.

        :param file: the team's settings file.
        :param identity: the operator's identity file, instead of the rest.
        :param platform: the URL of the platform's object API.
        :param team: the operator's team; the file's name if not given.
        :param operator: who asks; the login's name if not given.
        """
        team = _name_team(file, identity, team)
        who = _identify(identity, platform, team, operator)
        _load('_operators').preview(who, str(file))

    def apply(
        self,
        file: str,
        identity: str = '',
        platform: str = '',
        team: str = '',
        version: int | None = None,
        operator: str = '',
    ) -> None:
        """Put a team's settings file in force.

        :param file: the team's settings file.
        :param identity: the operator's identity file, instead of platform,
            team and operator.
        :param platform: the URL of the platform's object API.
        :param team: the operator's team; the file's name if not given.
        :param version: the version that must be in force, as `preview`
            shows it; whichever is, if not given.
        :param operator: who asks; the login's name if not given.
        """
        team = _name_team(file, identity, team)
        who = _identify(identity, platform, team, operator)
        _load('_operators').apply(who, str(file), version)

    def show(self, team: str, platform: str) -> None:
        """Show a team's settings as the store has them.

        :param team: the team.
        :param platform: the URL of the platform's object API.
        """
        _load('_operators').show(_identify('', platform, team, ''))

    def status(self, platform: str, instance: str) -> None:
        """Show which version is in force where, and which instances lag.

        :param platform: the URL of the platform's object API.
        :param instance: the admin address of any instance, `host:port`.
        """
        who = _identify('', platform, '', '')
        _load('_operators').show_status(who, str(instance))

    def drain(
        self,
        service: str,
        upstream: str,
        identity: str = '',
        team: str = '',
        platform: str = '',
        operator: str = '',
    ) -> None:
        """Give an upstream no new work; it finishes what it has.

        :param service: the service.
        :param upstream: the upstream.
        :param identity: the operator's identity file, instead of the rest.
        :param team: the operator's team.
        :param platform: the URL of the platform's object API.
        :param operator: who asks; the login's name if not given.
        """
        who = _identify(identity, platform, team, operator)
        _load('_operators').drain(who, str(service), str(upstream))

    def undrain(
        self,
        service: str,
        upstream: str,
        identity: str = '',
        team: str = '',
        platform: str = '',
        operator: str = '',
    ) -> None:
        """Give a drained upstream new work again.

        :param service: the service.
        :param upstream: the upstream.
        :param identity: the operator's identity file, instead of the rest.
        :param team: the operator's team.
        :param platform: the URL of the platform's object API.
        :param operator: who asks; the login's name if not given.
        """
        who = _identify(identity, platform, team, operator)
        _load('_operators').undrain(who, str(service), str(upstream))

    def demo(self, json: bool = False) -> None:
        """Show the whole system at work on this machine within 45 s.

        :param json: print one JSON object as the last line.
        """
        if _load('demo').run(bool(json)):
            raise errors.PromiseError('a promise was not kept')

    def load(
        self,
        file: str,
        faults: str = '',
        combine: bool = False,
        json: bool = False,
    ) -> None:
        """Run real processes under load and faults on this machine.

        :param file: the scenario, in JSON with comments.
        :param faults: names of the file's faults, with commas between.
        :param combine: run without faults, with each and with all pairs.
        :param json: print one JSON object for each run.
        """
        named = ','.join(faults) if isinstance(faults, tuple) else str(faults)
        if _load('load').run(str(file), named, bool(combine), bool(json)):
            raise errors.PromiseError('a promise was not kept')

    def report(self, before: str, after: str, sizes: bool = False) -> None:
        """Compare two result files, or two entries of the journal.

        :param before: the earlier results, of `make measure` or of the
            users' bench.
        :param after: the later ones, of the same sort.
        :param sizes: tell how each figure grows from a run of a site with
            few instances to one with many.
        """
        report = _load('report')
        if sizes:
            entries = map(report.read_entry, (str(before), str(after)))
            growths = report.compare_sizes(*entries)
            _load('table').print_results(growths, False)
            return
        read, compare = report.read_results, report.compare
        if report.is_entry(str(before)):
            read, compare = report.read_entry, report.compare_entries
        compared = compare(read(str(before)), read(str(after)))
        _load('table').print_results(list(compared), False)

    def measure(
        self,
        name: str = '',
        json: bool = False,
        seed: int = 1,
        **options: object,
    ) -> None:
        """Run a measure and print its results.

        :param name: which; without it, the names are listed.
        :param json: print one JSON object a line instead of a table.
        :param seed: the seed of all that is drawn at random.
        :param options: the measure's own options, by name.
        """
        measure = _load('measure')
        if not name:
            listed = pkgutil.iter_modules(measure.__path__)
            for each in listed:
                if not each.name.startswith('_'):
                    print(each.name.replace('_', '-'))
            return
        module = str(name).replace('-', '_')
        try:
            chosen = _load(f'measure.{module}')
        except ModuleNotFoundError as error:
            raise errors.UsageError(f'no measure {name!r}') from error
        known = inspect.signature(chosen.measure).parameters
        unknown = sorted(set(options) - set(known))
        if unknown:
            raise errors.UsageError(f'{name} has no option {unknown[0]!r}')
        results = chosen.measure(seed=seed, **options)
        _load('table').print_results(results, bool(json))

    def explain(self, flow: str, *logs: str) -> int:
        """Tell the story of one flow from the logs of several instances.

        :param flow: CALLER:PORT>ADDRESS:PORT, or its part before the >.
        :param logs: the log files; the lines of several instances may be
            in one.
        :returns: 1 if no line names the flow.
        """
        explain = _load('explain')
        history = explain.build_history(str(flow), _read_logs(logs))
        print(explain.format_history(history), end='')
        return 0 if history.events else 1

    def timeline(self, *logs: str) -> int:
        """Tell what happened to a fleet from the logs of its instances.

        What many instances found out at the same time is one line. Times
        count from the first one.

        :param logs: the log files; the lines of several instances may be
            in one.
        :returns: 1 if nothing but ordinary work was logged.
        """
        explain = _load('explain')
        entries = explain.list_entries(_read_logs(logs))
        print(explain.format_entries(entries), end='')
        return 0 if entries else 1

    def platform_standin(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Stand in for the platform's object API, for tests and benches.

        :param host: where to listen.
        :param port: the port; 0 for any free one.
        """
        _load('standin').run_platform_standin(host, port)

    def upstream_standin(
        self,
        settings: str = '',
        service: str = 'press-desk',
        count: int = 1,
        slots: int = 2,
        host: str = '127.0.0.1',
        port: int = 0,
    ) -> None:
        """Stand in for upstreams, for tests and benches.

        :param settings: a file in the form of a team's settings; without
            it, the next three say what to run on free ports.
        :param service: the service's name.
        :param count: how many upstreams.
        :param slots: the slots of each.
        :param host: where to listen for steering.
        :param port: the port for steering; 0 for any free one.
        """
        _load('standin').run_upstream_standin(
            settings, service, count, slots, host, port
        )
