"""Claims of teams on service names and addresses."""

from __future__ import annotations

import dataclasses

import msgspec

from skylarkfold import endpoint
from skylarkfold import service

CLAIM_PREFIX = '/claims/'


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A team's claim on a service name or an address.

    Claim objects are never deleted, since a delayed deletion could remove
    the claim of a later holder; a released claim has no team.

    :param path: the object's path.
    :param team: the team that holds it; empty if it is released.
    :param write: the id of the write that created it.
    :param version: the latest version of the team's subtree that is known
        to use it, 0 for none.
    :param pending: the version of the team's subtree that is about to use
        it, 0 for none.
    """

    path: str
    team: str
    write: str = ''
    version: int = 0
    pending: int = 0


class _ClaimFields(msgspec.Struct, omit_defaults=True):
    team: str
    write: str = ''
    version: int = 0
    pending: int = 0


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_ClaimFields)


def read_claim(path: str, value: bytes | None) -> Claim | None:
    """Decode a claim object.

    :param path: the object's path.
    :param value: its bytes; None if it is deleted.
    :returns: the claim; None if there is none or it is malformed.
    """
    if value is None:
        return None
    try:
        fields = _decoder.decode(value)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return Claim(
        path,
        fields.team,
        fields.write,
        fields.version,
        fields.pending,
    )


def encode_claim(claim: Claim) -> bytes:
    """Encode a claim as the value of its object.

    :param claim: the claim.
    :returns: JSON.
    """
    return _encoder.encode(
        _ClaimFields(claim.team, claim.write, claim.version, claim.pending)
    )


def build_address_path(address: endpoint.Endpoint) -> str:
    """Build the path of an address's claim object.

    :param address: the address in canonical form.
    :returns: the object's path.
    """
    return f'{CLAIM_PREFIX}address/{address}'


def build_service_path(name: str) -> str:
    """Build the path of a service name's claim object.

    :param name: the service's name.
    :returns: the object's path.
    """
    return f'{CLAIM_PREFIX}service/{name}'


def list_claim_paths(wanted: service.Service) -> tuple[str, ...]:
    """List the paths of the claims that a service needs.

    :param wanted: the service.
    :returns: the paths, in the order to take them.
    """
    paths = [
        build_service_path(wanted.name),
        build_address_path(wanted.address),
    ]
    if wanted.request_port:
        address = wanted.address._replace(port=wanted.request_port)
        paths.append(build_address_path(address))
    return tuple(paths)
