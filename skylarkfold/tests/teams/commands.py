"""Operators' commands that tests perform call by call."""

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold import service
from skylarkfold import settings
from skylarkfold import teams

HOST = '10.0.0.1:1'
ADDRESS_PATH = f'/claims/address/{HOST}'


class Command:
    """One operator's command and its result."""

    def __init__(self, steps, team, write_id, services):
        self.steps = steps
        self.team = team
        self.write_id = write_id
        self.services = services
        self.wanted = None
        self.applied = None
        self.error = None
        self.ended_at = 0

    def send(self, answer, revision):
        """Give an answer; tell whether the command goes on."""
        try:
            self.wanted = self.steps.send(answer)
            return True
        except StopIteration as ended:
            self.applied = ended.value
        except errors.SkylarkfoldError as error:
            self.error = error
        self.ended_at = revision
        self.wanted = None
        return False

    @property
    def has_ended(self):
        return self.applied is not None or self.error is not None

    def go(self, platform, until='', answer=None):
        """Go on without a fault, up to before a write under a path.

        :param answer: may give another answer to a call.
        """
        if self.wanted is None and not self.has_ended:
            self.send(None, platform.revision)
        while self.wanted is not None and not self.is_at(until):
            received = None
            if not isinstance(self.wanted, teams.Pause):
                received = answer(self.wanted) if answer else None
                received = received or platform.perform(self.wanted)
            self.send(received, platform.revision)
        return self

    def is_at(self, path):
        """Tell whether a write under a path is next."""
        if not path or not isinstance(self.wanted, platform_api.WriteObject):
            return False
        return self.wanted.path.startswith(path)


def build_services(team, kind):
    """Each team's service has a name of its own, but the same address."""
    if kind == 'leave':
        return {}
    upstream = {'address': f'10.9.9.{ord(team[0])}:1', 'zone': 'z'}
    return {team[0]: {'address': HOST, 'upstreams': {'u': upstream}}}


def start(team, kind, write_id):
    """Begin a command: to use the address, to leave it, or to drain."""
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
