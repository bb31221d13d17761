"""Tests that the modules, classes and functions named in the docs exist."""

import pathlib
import re

import testtools

_PACKAGE = pathlib.Path(__file__).parent.parent
_DOCS = _PACKAGE.parent / 'docs'
_QUOTED = re.compile(r'`([\w./]+)(?:\(\))?`')
_CLASS = r'[A-Z]\w*[a-z]\w*'
# A class of a module, or a member of a class.
_DOTTED = re.compile(rf'(\w+)\.({_CLASS})$|({_CLASS})\.(\w+)$')
_LIBRARIES = ('msgspec',)


def _path_exists(name):
    parts = name.removeprefix('skylarkfold/').rstrip('/')
    paths = [_PACKAGE / parts, _PACKAGE / 'tests' / parts]
    paths += [path.with_name(f'{path.name}.py') for path in paths]
    return any(path.exists() for path in paths)


def _member_exists(owner, member, sources):
    """Tell whether a module or a class's module contains a name."""
    return owner in _LIBRARIES or any(
        re.search(rf'\b{member}\b', text)
        for path, text in sources.items()
        if owner in (path.stem, path.parent.name) or f'class {owner}' in text
    )


class DocumentedNamesTest(testtools.TestCase):
    def test_quoted_paths_and_dotted_names_exist(self):
        folders = {each.name for each in _PACKAGE.iterdir() if each.is_dir()}
        sources = {path: path.read_text() for path in _PACKAGE.rglob('*.py')}
        missing = []
        for page in sorted(_DOCS.rglob('*.md')):
            for name in _QUOTED.findall(page.read_text()):
                first = name.removeprefix('skylarkfold/').split('/')[0]
                dotted = _DOTTED.search(name)
                exists = True
                if '/' in name and first in folders:
                    exists = _path_exists(name)
                elif dotted and '/' not in name:
                    owner, member = filter(None, dotted.groups())
                    exists = _member_exists(owner, member, sources)
                if not exists:
                    missing.append(f'{page.name}: {name}')
        self.assertEqual([], missing)
