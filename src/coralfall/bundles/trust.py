"""A trust file: whose keys an operator's commands believe, in TOML.

It has the same shape as the partners in an entry's settings::

    [partners.cosecha.keys]
    ana = "mLxB...="
    bea = "u0Pw...="
"""

import pathlib
import typing as t

from ..exceptions import Fault, SignatureError
from ..ids import KeyId, PartnerId
from ..settings import PartnerSettings, Settings, load_settings, settings_error
from . import signing


class TrustSettings(Settings, frozen=True):
    """What a trust file holds."""

    #: Partners whose bundles may be submitted, by name.
    partners: t.Dict[PartnerId, PartnerSettings]


def load_trust(path: pathlib.Path) -> signing.Trust:
    """Public keys by partner and key id.

    :raises SettingsError: with every fault found.
    """
    settings = load_settings(path, TrustSettings)
    faults = find_key_faults(settings.partners)
    if faults:
        raise settings_error(str(path), faults)
    return trust_of(settings.partners)


def trust_of(partners: t.Mapping[PartnerId, PartnerSettings]) -> signing.Trust:
    """The keys in settings, as :mod:`coralfall.bundles.signing` takes them."""
    return {partner: settings.keys for partner, settings in partners.items()}


def find_key_faults(partners: t.Mapping[PartnerId, PartnerSettings]) -> t.List[Fault]:
    """Keys that are no keys, and keys that stand under two ids of one partner.

    A key under two ids would let one operator be both author and approver.
    """
    faults = []
    for partner, settings in partners.items():
        id_by_key: t.Dict[bytes, KeyId] = {}
        for key_id, encoded in settings.keys.items():
            path = f"partners.{partner}.keys.{key_id}"
            try:
                key = bytes(signing.parse_public_key(key_id, encoded))
            except SignatureError as error:
                faults.append(Fault(path, "bad-key", error.message))
                continue
            if key in id_by_key:
                message = f"is the same key as {id_by_key[key]!r}"
                faults.append(Fault(path, "duplicate-key", message))
                continue
            id_by_key[key] = key_id
    return faults
