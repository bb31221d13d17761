"""Tests of the records about upstreams when an instance first learns them.

At a start of the whole system, each instance learns of up to 3,800 upstreams
at once and buffers at most 4,096 log lines: a line for each upstream would
displace others. Below a few hundred, each upstream has its own line.
"""

import testtools

from skylarkfold import affinity
from skylarkfold.tests.affinity import samples


def list_records(effects):
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
        return list_records(
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

    def test_many_upstreams_are_recorded_together(self):
        records = self.set_upstreams(3800)
        zones = {samples.ZONE: 1900, samples.OTHER_ZONE: 1900}
        details = {'upstreams': 3800, 'zones': zones}
        self.assertEqual([('upstream', 'listed', details)], records)
        self.assertEqual(3800, len(self.core.directory))

    def test_few_upstreams_have_a_record_each(self):
        records = self.set_upstreams(100)
        self.assertEqual(['added'] * 100, [reason for _, reason, _ in records])

    def test_later_changes_have_a_record_each(self):
        self.set_upstreams(300)
        records = self.set_upstreams(300, first=301)
        reasons = [reason for _, reason, _ in records]
        self.assertEqual(300, reasons.count('added'))
        self.assertEqual(300, reasons.count('lapsed'))
