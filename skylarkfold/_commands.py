"""The commands of the command line; modules are imported on demand."""

from __future__ import annotations

import importlib
import inspect
import pathlib
import pkgutil

from skylarkfold import errors
from skylarkfold import files


def _load(name: str) -> object:
    return importlib.import_module(f'skylarkfold.{name}')


def _choose_team(file: str, identity: str, team: str) -> str:
    if team or identity:
        return str(team)
    return pathlib.Path(str(file)).stem


def _read_log_lines(paths: tuple[str, ...]) -> list[object]:
    if not paths:
        raise errors.UsageError('no log file was given')
    lines: list[object] = []
    for path in paths:
        text = files.read_bytes(str(path))
        lines += _load('explain').read_lines(
            text.decode(errors='replace').split('\n')
        )
    return lines


def _resolve_identity(
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
    usage; 3 invalid settings; 4 conflict with another operator's change;
    5 the platform did not answer; 6 address in use; 7 a name or address
    belongs to another team; 8 no permission.
    """

    def entry(self, settings: str) -> None:
        """Run one instance until SIGTERM or SIGINT.

        :param settings: the instance's settings file.
        """
        uvloop = importlib.import_module('uvloop')
        read = _load('settings').read_entry_settings(str(settings))
        uvloop.run(_load('daemon').serve(read))

    def check(self, file: str, team: str = '', kind: str = '') -> None:
        """Check a settings file without applying it.

        :param file: the settings file.
        :param team: the team whose settings the file contains; without it,
            the file is an instance's settings file.
        :param kind: another kind of file: own, the settings that we ship
            to instances on the users' platform; platform, the settings
            that the platform gives them; deploy, the deploy file.
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
        """Show what a settings file would change.

        :param file: the team's settings file.
        :param identity: the operator's identity file, instead of the rest.
        :param platform: the URL of the platform's object API.
        :param team: the operator's team; the file's name if not given.
        :param operator: who asks; the login's name if not given.
        """
        team = _choose_team(file, identity, team)
        operator_identity = _resolve_identity(
            identity, platform, team, operator
        )
        _load('_operators').preview(operator_identity, str(file))

    def apply(
        self,
        file: str,
        identity: str = '',
        platform: str = '',
        team: str = '',
        version: int | None = None,
        operator: str = '',
    ) -> None:
        """Apply a team's settings file.

        :param file: the team's settings file.
        :param identity: the operator's identity file, instead of platform,
            team and operator.
        :param platform: the URL of the platform's object API.
        :param team: the operator's team; the file's name if not given.
        :param version: the version that must currently be in force, as
            `preview` shows it; any version if not given.
        :param operator: who asks; the login's name if not given.
        """
        team = _choose_team(file, identity, team)
        operator_identity = _resolve_identity(
            identity, platform, team, operator
        )
        _load('_operators').apply(operator_identity, str(file), version)

    def show(self, team: str, platform: str) -> None:
        """Show a team's settings as they are stored.

        :param team: the team.
        :param platform: the URL of the platform's object API.
        """
        _load('_operators').show(_resolve_identity('', platform, team, ''))

    def status(self, platform: str, instance: str) -> None:
        """Show which version is in force where, and which instances lag.

        :param platform: the URL of the platform's object API.
        :param instance: the admin address of any instance, `host:port`.
        """
        operator_identity = _resolve_identity('', platform, '', '')
        _load('_operators').show_status(operator_identity, str(instance))

    def drain(
        self,
        service: str,
        upstream: str,
        identity: str = '',
        team: str = '',
        platform: str = '',
        operator: str = '',
    ) -> None:
        """Stop giving new work to an upstream; it finishes what it has.

        :param service: the service.
        :param upstream: the upstream.
        :param identity: the operator's identity file, instead of the rest.
        :param team: the operator's team.
        :param platform: the URL of the platform's object API.
        :param operator: who asks; the login's name if not given.
        """
        operator_identity = _resolve_identity(
            identity, platform, team, operator
        )
        _load('_operators').drain(
            operator_identity, str(service), str(upstream)
        )

    def undrain(
        self,
        service: str,
        upstream: str,
        identity: str = '',
        team: str = '',
        platform: str = '',
        operator: str = '',
    ) -> None:
        """Give new work to a drained upstream again.

        :param service: the service.
        :param upstream: the upstream.
        :param identity: the operator's identity file, instead of the rest.
        :param team: the operator's team.
        :param platform: the URL of the platform's object API.
        :param operator: who asks; the login's name if not given.
        """
        operator_identity = _resolve_identity(
            identity, platform, team, operator
        )
        _load('_operators').undrain(
            operator_identity, str(service), str(upstream)
        )

    def demo(self, json: bool = False) -> None:
        """Run a demonstration of the whole system on this machine in 45 s.

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
        :param faults: names of faults in the file, separated by commas.
        :param combine: run without faults, with each fault and with each
            pair of faults.
        :param json: print one JSON object for each run.
        """
        fault_names = (
            ','.join(faults) if isinstance(faults, tuple) else str(faults)
        )
        if _load('load').run(
            str(file), fault_names, bool(combine), bool(json)
        ):
            raise errors.PromiseError('a promise was not kept')

    def report(self, before: str, after: str, sizes: bool = False) -> None:
        """Compare two result files, or two entries of the journal.

        :param before: the earlier results, of `make measure` or of the
            users' bench.
        :param after: the later results, of the same kind.
        :param sizes: show how each figure grows from a site with few
            instances to a site with many.
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

        :param name: the measure; without it, all names are listed.
        :param json: print one JSON object per line instead of a table.
        :param seed: the seed of the random numbers.
        :param options: the measure's own options, by name.
        """
        measure = _load('measure')
        if not name:
            modules = pkgutil.iter_modules(measure.__path__)
            for each in modules:
                if not each.name.startswith('_'):
                    print(each.name.replace('_', '-'))
            return
        module = str(name).replace('-', '_')
        try:
            chosen = _load(f'measure.{module}')
        except ModuleNotFoundError as error:
            raise errors.UsageError(f'no measure is named {name!r}') from error
        known = inspect.signature(chosen.measure).parameters
        unknown = sorted(set(options) - set(known))
        if unknown:
            raise errors.UsageError(f'{name} has no option {unknown[0]!r}')
        results = chosen.measure(seed=seed, **options)
        _load('table').print_results(results, bool(json))

    def explain(self, flow: str, *logs: str) -> int:
        """Show the history of one flow from the logs of several instances.

        :param flow: CALLER:PORT>ADDRESS:PORT, or its part before the >.
        :param logs: the log files; one file may contain lines of several
            instances.
        :returns: 1 if no line names the flow.
        """
        explain = _load('explain')
        history = explain.build_history(str(flow), _read_log_lines(logs))
        print(explain.format_history(history), end='')
        return 0 if history.events else 1

    def timeline(self, *logs: str) -> int:
        """Show the events of a fleet from the logs of its instances.

        An event that several instances logged at the same time is shown
        once. Times are relative to the first event.

        :param logs: the log files; one file may contain lines of several
            instances.
        :returns: 1 if the logs contain no such event.
        """
        explain = _load('explain')
        entries = explain.list_entries(_read_log_lines(logs))
        print(explain.format_entries(entries), end='')
        return 0 if entries else 1

    def platform_standin(self, host: str = '127.0.0.1', port: int = 0) -> None:
        """Serve a stand-in for the platform's API, for tests and benches.

        :param host: the address to listen on.
        :param port: the port to listen on; 0 for any free one.
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
        """Run stand-ins for upstreams, for tests and benches.

        :param settings: a team's settings file that lists the upstreams;
            without it, service, count and slots describe upstreams to run
            on free ports.
        :param service: the service's name.
        :param count: the number of upstreams.
        :param slots: the slots of each upstream.
        :param host: the address of the control API.
        :param port: the port of the control API; 0 for any free one.
        """
        _load('standin').run_upstream_standin(
            settings, service, count, slots, host, port
        )
