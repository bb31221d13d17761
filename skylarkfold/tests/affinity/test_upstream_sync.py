"""What is said of the upstreams when an instance first hears of them.

At a start of everything every instance hears of up to 3,800 of them at
once, while its callers wait, and holds 4,096 lines at most until there is
time to write: a line for each would take the place of those about the
process. Below a few hundred each upstream has its line.
"""

import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples


def list_said(effects):
    return [
        (each.kind, each.reason, each.details)
        for each in effects
        if isinstance(each, affinity.RecordDecision)
    ]


class FirstListTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        settings = affinity.AffinitySettings()
        self.core = affinity.AffinityCore(samples.ZONE, settings)

    def set_upstreams(self, count, first=1):
        return list_said(
            self.core.set_upstreams(
                1.0,
                [
                    samples.build_upstream(
                        number,
                        zone=(samples.ZONE, samples.OTHER_ZONE)[number % 2],
                    )
                    for number in range(first, first + count)
                ],
            )
        )

    def test_many_are_said_in_one_line(self):
        said = self.set_upstreams(3800)
        zones = {samples.ZONE: 1900, samples.OTHER_ZONE: 1900}
        details = {'upstreams': 3800, 'zones': zones}
        self.assertEqual([('upstream', 'listed', details)], said)
        self.assertEqual(3800, len(self.core.directory))

    def test_few_have_a_line_each(self):
        said = self.set_upstreams(100)
        self.assertEqual(['added'] * 100, [reason for _, reason, _ in said])

    def test_whatever_changes_later_has_a_line_each(self):
        self.set_upstreams(300)
        said = self.set_upstreams(300, first=301)
        reasons = [reason for _, reason, _ in said]
        self.assertEqual(300, reasons.count('added'))
        self.assertEqual(300, reasons.count('lapsed'))
