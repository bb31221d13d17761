"""Checks that the operators' page documents every error code."""

import pathlib

import testtools

from skylarkfold import admission
from skylarkfold import errors
from skylarkfold import requests

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'operators' / 'errors.md'


def list_kinds(kind):
    yield kind
    for each in kind.__subclasses__():
        yield from list_kinds(each)


class ErrorsTest(testtools.TestCase):
    def test_codes_are_documented_and_unique(self):
        page = PAGE.read_text()
        kinds = list(list_kinds(errors.SkylarkfoldError))
        codes = [each.code for each in kinds]
        self.assertEqual(len(codes), len(set(codes)))
        for code in [*codes, *requests.ErrorCode, *admission.RefusalCode]:
            self.assertIn(f'| `{code}` |', page)
