"""Tests of what an operator's command has seen of the store."""

import testtools

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold import revision as revisions
from skylarkfold import teams

PATH = '/teams/desk/settings'
PREFIX = '/teams/'
Status = platform_api.PlatformStatus


def build(version, number, era):
    revision = int(revisions.Revision(number, era))
    return platform_api.StoredObject(PATH, version, revision, b'value')


def answer(*objects, number, era, status=Status.OK):
    revision = int(revisions.Revision(number, era))
    return platform_api.PlatformAnswer(status, objects, revision)


def finish(steps, *answers):
    """Give all calls of steps the same answers, the last one for ever."""
    received = None
    answers = list(answers)
    while True:
        try:
            wanted = steps.send(received)
        except StopIteration as ended:
            return ended.value
        received = None
        if not isinstance(wanted, teams.Pause):
            received = answers.pop(0) if len(answers) > 1 else answers[0]


class SessionTest(testtools.TestCase):
    """The store comes back from an older copy while a command runs."""

    def setUp(self):
        super().setUp()
        self.session = teams.Session('write')
        found = build(5, 38, 1)
        self.read(answer(found, number=38, era=1))
        self.list(answer(found, number=38, era=1))

    def read(self, *answers):
        return finish(self.session.read(PATH), *answers)

    def list(self, *answers):
        return finish(self.session.list_objects(PREFIX), *answers)

    def test_an_older_form_of_the_same_era_is_not_taken(self):
        older = answer(build(4, 37, 1), number=38, era=1)
        self.assertRaises(errors.PlatformError, self.read, older)
        older = answer(build(5, 36, 1), number=37, era=1)
        self.assertRaises(errors.PlatformError, self.list, older)

    def test_a_lower_version_of_a_later_era_is_taken(self):
        found = build(4, 26, 2)
        self.assertEqual(found, self.read(answer(found, number=26, era=2)))

    def test_a_listing_of_a_later_era_is_taken(self):
        found = build(4, 26, 2)
        self.assertEqual([found], self.list(answer(found, number=26, era=2)))

    def test_what_the_copy_lacks_is_not_there(self):
        lacking = answer(number=0, era=2, status=Status.NOT_FOUND)
        self.assertIsNone(self.read(lacking))

    def test_an_older_era_is_not_taken_any_more(self):
        self.read(answer(build(4, 26, 2), number=26, era=2))
        late = answer(build(6, 39, 1), number=39, era=1)
        self.assertRaises(errors.PlatformError, self.read, late)
        self.assertRaises(errors.PlatformError, self.list, late)
