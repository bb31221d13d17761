"""Teams' settings subtrees, and claims on service names and addresses."""

from skylarkfold.teams._apply import Applied
from skylarkfold.teams._apply import apply
from skylarkfold.teams._apply import Operator
from skylarkfold.teams._apply import preview
from skylarkfold.teams._apply import set_upstream_state as edit_state
from skylarkfold.teams._claim import build_address_path
from skylarkfold.teams._claim import build_service_path
from skylarkfold.teams._claim import Claim
from skylarkfold.teams._claim import CLAIM_PREFIX
from skylarkfold.teams._claim import encode_claim
from skylarkfold.teams._claim import list_claim_paths
from skylarkfold.teams._claim import read_claim
from skylarkfold.teams._configuration_builder import build_configuration
from skylarkfold.teams._configuration_builder import list_lost_services
from skylarkfold.teams._preview import Change
from skylarkfold.teams._preview import ChangeKind
from skylarkfold.teams._preview import list_changes
from skylarkfold.teams._preview import list_warnings
from skylarkfold.teams._preview import Preview
from skylarkfold.teams._runner import apply_settings
from skylarkfold.teams._runner import collect_status
from skylarkfold.teams._runner import PlatformClient
from skylarkfold.teams._runner import preview_change
from skylarkfold.teams._runner import read_settings
from skylarkfold.teams._runner import run_steps
from skylarkfold.teams._runner import set_upstream_state
from skylarkfold.teams._session import Pause
from skylarkfold.teams._session import RetrySettings
from skylarkfold.teams._session import Session
from skylarkfold.teams._session import Steps
from skylarkfold.teams._status import build_status
from skylarkfold.teams._status import InstanceLag
from skylarkfold.teams._status import Status
from skylarkfold.teams._status import TeamStatus
from skylarkfold.teams._subtree import build_subtree_path
from skylarkfold.teams._subtree import encode_subtree
from skylarkfold.teams._subtree import parse_team
from skylarkfold.teams._subtree import read_subtree
from skylarkfold.teams._subtree import Subtree
from skylarkfold.teams._subtree import TEAM_PREFIX

__all__ = [
    'CLAIM_PREFIX',
    'TEAM_PREFIX',
    'Applied',
    'Change',
    'ChangeKind',
    'Claim',
    'InstanceLag',
    'Operator',
    'Pause',
    'PlatformClient',
    'Preview',
    'RetrySettings',
    'Session',
    'Status',
    'Steps',
    'Subtree',
    'TeamStatus',
    'apply',
    'apply_settings',
    'build_address_path',
    'build_configuration',
    'build_service_path',
    'build_status',
    'build_subtree_path',
    'collect_status',
    'edit_state',
    'encode_claim',
    'encode_subtree',
    'list_changes',
    'list_claim_paths',
    'list_lost_services',
    'list_warnings',
    'parse_team',
    'preview',
    'preview_change',
    'read_claim',
    'read_settings',
    'read_subtree',
    'run_steps',
    'set_upstream_state',
]
