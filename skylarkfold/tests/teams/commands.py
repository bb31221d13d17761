"""Operators' commands that tests run call by call."""

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold import service
from skylarkfold import settings
from skylarkfold import teams

HOST = '10.0.0.1:1'
ADDRESS_PATH = f'/claims/address/{HOST}'


class Command:
    """One operator's command, its next request and its result."""

    def __init__(self, steps, team, write_id, services):
        self.steps = steps
        self.team = team
        self.write_id = write_id
        self.services = services
        self.next_request = None
        self.applied = None
        self.error = None
        self.ended_at = 0

    def send(self, answer, revision):
        """Send an answer; return whether the command continues."""
        try:
            self.next_request = self.steps.send(answer)
            return True
        except StopIteration as ended:
            self.applied = ended.value
        except errors.SkylarkfoldError as error:
            self.error = error
        self.ended_at = revision
        self.next_request = None
        return False

    @property
    def has_ended(self):
        return self.applied is not None or self.error is not None

    def run_until(self, platform, until='', answer=None):
        """Run until the end or until the next request writes to a path.

        :param platform: the fake platform.
        :param until: the path's prefix; empty to run until the end.
        :param answer: returns a substitute answer to a call, or None.
        """
        if self.next_request is None and not self.has_ended:
            self.send(None, platform.revision)
        while self.next_request is not None and not self.is_before_write(
            until
        ):
            received = None
            if not isinstance(self.next_request, teams.Pause):
                received = answer(self.next_request) if answer else None
                received = received or platform.perform(self.next_request)
            self.send(received, platform.revision)
        return self

    def is_before_write(self, path):
        """Return whether the next request is a write under a path."""
        if not path or not isinstance(
            self.next_request, platform_api.WriteObject
        ):
            return False
        return self.next_request.path.startswith(path)


def build_services(team, kind):
    """Build a team's services: a distinct name, but the same address."""
    if kind == 'leave':
        return {}
    upstream = {'address': f'10.9.9.{ord(team[0])}:1', 'zone': 'z'}
    return {team[0]: {'address': HOST, 'upstreams': {'u': upstream}}}


def start(team, kind, write_id):
    """Start a command that uses the address, stops using it, or drains."""
    services = build_services(team, kind)
    operator = teams.Operator(write_id, team)
    session = teams.Session(write_id)
    text = settings.encode_services(services)
    new = settings.read_team_settings(text, 'f', team)
    steps = teams.apply(session, operator, new, services)
    if kind == 'drain':
        new = settings.TeamSettings(team, {})
        state = service.UpstreamState.DRAINING
        steps = teams.edit_state(session, operator, team[0], 'u', state)
    return Command(steps, team, write_id, new.services)
