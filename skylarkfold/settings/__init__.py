"""Parsing and validation of settings files and objects."""

from skylarkfold.settings._conversion import convert_section
from skylarkfold.settings._document import encode_services
from skylarkfold.settings._document import join_path
from skylarkfold.settings._document import MAXIMUM_COMMENTED_BYTES
from skylarkfold.settings._document import MAXIMUM_TEXT_BYTES
from skylarkfold.settings._document import parse_document
from skylarkfold.settings._entry import EntrySettings
from skylarkfold.settings._entry import parse_entry_settings
from skylarkfold.settings._entry import PeerSettings
from skylarkfold.settings._entry import PlatformSettings
from skylarkfold.settings._entry import read_entry_settings
from skylarkfold.settings._entry import TlsSettings
from skylarkfold.settings._team import read_team_settings
from skylarkfold.settings._team import TeamSettings
from skylarkfold.settings._team import WriteEntry
from skylarkfold.settings._team import WriteRecord
from skylarkfold.settings._validation import check_name
from skylarkfold.settings._validation import normalize_endpoint

__all__ = [
    'MAXIMUM_COMMENTED_BYTES',
    'MAXIMUM_TEXT_BYTES',
    'EntrySettings',
    'PeerSettings',
    'PlatformSettings',
    'TeamSettings',
    'TlsSettings',
    'WriteEntry',
    'WriteRecord',
    'check_name',
    'convert_section',
    'encode_services',
    'join_path',
    'normalize_endpoint',
    'parse_document',
    'parse_entry_settings',
    'read_entry_settings',
    'read_team_settings',
]
