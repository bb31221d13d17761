"""Tests of flow hashes."""

import testtools

from skylarkfold import endpoint
from skylarkfold import flow


class HashFlowTest(testtools.TestCase):
    def test_hash_is_the_same_in_every_process(self):
        caller = endpoint.Endpoint('10.9.0.1', 40000)
        key = flow.FlowKey('press-desk', caller)
        self.assertEqual(16770624291762162248, flow.hash_flow(key))

    def test_hash_depends_on_service(self):
        caller = endpoint.Endpoint('10.9.0.1', 40000)
        one = flow.FlowKey('press-desk', caller)
        other = flow.FlowKey('plano-vault', caller)
        self.assertNotEqual(flow.hash_flow(one), flow.hash_flow(other))
