"""Runs the tests with stestr and evaluates the result.

The exit status is 1 if a test failed that KNOWN-RED.txt does not list, or if
no test ran.
"""

import io
import os
import pathlib
import shutil
import subprocess
import sys

import subunit
import testtools

ROOT = pathlib.Path(__file__).parent.parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
MAXIMUM_KNOWN_RED = 3
MAXIMUM_WORKERS = 8


def _read_known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split(',')[0].strip() for line in lines if line.strip()}


def _run_tests(arguments: list[str]) -> None:
    # Otherwise a run that matches no test would be evaluated by the result
    # of the previous run.
    shutil.rmtree(ROOT / '.stestr', ignore_errors=True)
    workers = min(MAXIMUM_WORKERS, os.cpu_count() or 1)
    command = [sys.executable, '-m', 'stestr', 'run']
    command += ['--concurrency', str(workers), *arguments]
    subprocess.run(command, cwd=ROOT)


def _read_last_run() -> testtools.StreamSummary:
    command = [sys.executable, '-m', 'stestr', 'last', '--subunit']
    recorded = subprocess.run(command, cwd=ROOT, capture_output=True)
    summary = testtools.StreamSummary()
    summary.startTestRun()
    source = io.BytesIO(recorded.stdout)
    stream = subunit.ByteStreamToStreamResult(source, 'stdout')
    stream.run(summary)
    summary.stopTestRun()
    return summary


def _list_failed(summary: testtools.StreamSummary) -> set[str]:
    failed = {case.id() for case, _ in summary.errors + summary.failures}
    return failed | {case.id() for case in summary.unexpectedSuccesses}


def _evaluate(summary: testtools.StreamSummary, known_red: set[str]) -> bool:
    failed = _list_failed(summary)
    for name in sorted(failed & known_red):
        print(f'known red: {name}')
    for name in sorted(failed - known_red):
        print(f'FAILED: {name}')
    passed = summary.testsRun - len(failed) - len(summary.skipped)
    counts = f'{passed} passed, {len(failed)} failed'
    print(f'{counts}, {len(summary.skipped)} skipped')
    return passed > 0 and not failed - known_red


def main() -> int:
    """Run the tests and return the exit status."""
    known_red = _read_known_red()
    if len(known_red) > MAXIMUM_KNOWN_RED:
        print(f'{KNOWN_RED.name} lists more than {MAXIMUM_KNOWN_RED} tests')
        return 1
    _run_tests(sys.argv[1:])
    return 0 if _evaluate(_read_last_run(), known_red) else 1


if __name__ == '__main__':
    sys.exit(main())
