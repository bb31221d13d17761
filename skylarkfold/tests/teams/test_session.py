"""Tests that a session rejects outdated answers of the store."""

import testtools

from skylarkfold import errors
from skylarkfold import platform_api
from skylarkfold import revision as revisions
from skylarkfold import teams

PATH = '/teams/desk/settings'
PREFIX = '/teams/'
Status = platform_api.PlatformStatus


def build_object(version, number, era):
    revision = int(revisions.Revision(number, era))
    return platform_api.StoredObject(PATH, version, revision, b'value')


def build_answer(*objects, number, era, status=Status.OK):
    revision = int(revisions.Revision(number, era))
    return platform_api.PlatformAnswer(status, objects, revision)


def finish(steps, *answers):
    """Run steps with the given answers, repeating the last one."""
    received = None
    answers = list(answers)
    while True:
        try:
            request = steps.send(received)
        except StopIteration as ended:
            return ended.value
        received = None
        if not isinstance(request, teams.Pause):
            received = answers.pop(0) if len(answers) > 1 else answers[0]


class SessionTest(testtools.TestCase):
    """The store is restored from an older copy during a command."""

    def setUp(self):
        super().setUp()
        self.session = teams.Session('write')
        found = build_object(5, 38, 1)
        self.read(build_answer(found, number=38, era=1))
        self.list(build_answer(found, number=38, era=1))

    def read(self, *answers):
        return finish(self.session.read(PATH), *answers)

    def list(self, *answers):
        return finish(self.session.list_objects(PREFIX), *answers)

    def test_older_version_of_the_same_era_is_rejected(self):
        older_answer = build_answer(build_object(4, 37, 1), number=38, era=1)
        self.assertRaises(errors.PlatformError, self.read, older_answer)
        older_answer = build_answer(build_object(5, 36, 1), number=37, era=1)
        self.assertRaises(errors.PlatformError, self.list, older_answer)

    def test_lower_version_of_a_later_era_is_accepted(self):
        found = build_object(4, 26, 2)
        self.assertEqual(
            found, self.read(build_answer(found, number=26, era=2))
        )

    def test_list_of_a_later_era_is_accepted(self):
        found = build_object(4, 26, 2)
        self.assertEqual(
            [found], self.list(build_answer(found, number=26, era=2))
        )

    def test_object_that_the_copy_lacks_is_missing(self):
        not_found = build_answer(number=0, era=2, status=Status.NOT_FOUND)
        self.assertIsNone(self.read(not_found))

    def test_earlier_era_is_rejected(self):
        self.read(build_answer(build_object(4, 26, 2), number=26, era=2))
        late_answer = build_answer(build_object(6, 39, 1), number=39, era=1)
        self.assertRaises(errors.PlatformError, self.read, late_answer)
        self.assertRaises(errors.PlatformError, self.list, late_answer)
