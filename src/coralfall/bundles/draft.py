"""A draft: the TOML file that an operator writes, and the bundle that it becomes."""

import fnmatch
import pathlib
import typing as t

import msgspec

from ..exceptions import Fault, InputError
from ..ids import BundleVersion, Digest, PartnerId, RegionId, ServiceId, SiteId, TargetId
from ..lookups.chunks import load_block_files
from ..tomlfile import read_toml
from ..validation import collect_faults
from . import rules
from .bundle import Bundle, ChunkRef, Grant, Model, Region, Service, Site, Target


class Draft(Model, frozen=True):
    """What the TOML file states: a bundle, but for its block files and the granted regions."""

    partner: PartnerId
    version: BundleVersion
    regions: t.Dict[RegionId, Region]
    services: t.Dict[ServiceId, Service]
    targets: t.Dict[TargetId, Target]
    grants: t.Dict[RegionId, t.Dict[PartnerId, Grant]] = {}
    sites: t.Dict[SiteId, Site] = {}
    #: Regions of other partners that targets and sites may name.
    granted_regions: t.Tuple[RegionId, ...] = ()
    #: Files with lines ``prefix,site``, relative to the draft's folder.
    block_files: t.Tuple[str, ...] = ()


class LoadedDraft(t.NamedTuple):
    """A draft without faults, ready to sign."""

    bundle: Bundle
    #: Pages and chunks of the block table, by digest.
    objects: t.Dict[Digest, bytes]


def check_draft(path: pathlib.Path) -> t.List[Fault]:
    """Every fault of a draft, in one run.

    :param path: the TOML file.
    :return: faults by path in the file; empty if the draft can be loaded.
    """
    return _read(path)[1]


def load_draft(path: pathlib.Path) -> Bundle:
    """The bundle that a draft states.

    :param path: the TOML file.
    :raises BundleError: with every fault found.
    """
    return load_whole_draft(path).bundle


def load_whole_draft(path: pathlib.Path) -> LoadedDraft:
    """The bundle that a draft states, with the pieces of its block table.

    :param path: the TOML file.
    :raises BundleError: with every fault found.
    """
    loaded, faults = _read(path)
    if loaded is None or faults:
        raise rules.bundle_error(str(path), faults)
    return loaded


def _read(path: pathlib.Path) -> t.Tuple[t.Optional[LoadedDraft], t.List[Fault]]:
    try:
        raw = read_toml(path)
    except InputError as error:
        return None, error.faults
    shape_faults = collect_faults(raw, Draft)
    draft = _convert(raw, shape_faults)
    faults = shape_faults + _rule_faults(draft, shape_faults)
    folder = path.parent
    files = load_block_files([folder / name for name in draft.block_files], draft.sites)
    faults += files.faults
    if faults:
        return None, faults
    return LoadedDraft(_to_bundle(draft, files.refs), files.objects_by_digest), []


def _to_bundle(draft: Draft, chunks: t.Tuple[ChunkRef, ...]) -> Bundle:
    return Bundle(
        partner=draft.partner,
        version=draft.version,
        regions=draft.regions,
        services=draft.services,
        targets=draft.targets,
        grants=draft.grants,
        sites=draft.sites,
        chunks=chunks,
    )


def _rule_faults(draft: Draft, shape_faults: t.Sequence[Fault]) -> t.List[Fault]:
    faults = []
    broken = [fault.path for fault in shape_faults if fault.code != "unknown-field"]
    for finding in rules.find_faults(_to_bundle(draft, ()), frozenset(draft.granted_regions)):
        if _follows_from(finding, broken):
            continue
        faults.append(finding.fault)
    return faults


def _follows_from(finding: rules.Finding, broken: t.Sequence[str]) -> bool:
    """Whether a finding may be there only because the values at the paths ``broken`` are."""
    for path in broken:
        if _overlaps(finding.fault.path, path):
            return True
        for pattern in finding.reads:
            if fnmatch.fnmatchcase(path, pattern):
                return True
    return False


def _overlaps(first: str, second: str) -> bool:
    """Whether one path is the other, or within it; the empty path is the whole draft."""
    if first == second or not first or not second:
        return True
    return _is_below(first, second) or _is_below(second, first)


def _is_below(path: str, parent: str) -> bool:
    return path.startswith((f"{parent}.", f"{parent}["))


def _convert(raw: t.Dict[str, t.Any], shape_faults: t.Sequence[Fault]) -> Draft:
    """A draft in which a sound value stands for each broken one, so that rules can run."""
    if not shape_faults:
        return msgspec.convert(raw, Draft)
    return t.cast(Draft, _repair(raw, Draft))


def _repair(raw: t.Any, model: t.Any) -> t.Any:
    """``raw`` as ``model``, with a placeholder for every part that does not fit."""
    if isinstance(model, type) and issubclass(model, msgspec.Struct):
        return _repair_struct(raw if isinstance(raw, dict) else {}, model)
    if t.get_origin(model) is dict:
        value_model = t.get_args(model)[1]
        items = raw.items() if isinstance(raw, dict) else ()
        return {key: _repair(value, value_model) for key, value in items}
    try:
        return msgspec.convert(raw, model)
    except msgspec.ValidationError:
        return _placeholder(model)


def _repair_struct(raw: t.Dict[str, t.Any], model: t.Type[msgspec.Struct]) -> msgspec.Struct:
    values = {}
    for field in msgspec.structs.fields(model):
        if field.name in raw:
            values[field.name] = _repair(raw[field.name], field.type)
        elif field.required:
            values[field.name] = _repair(None, field.type)
    return model(**values)


def _placeholder(model: t.Any) -> t.Any:
    """Any value of ``model``: 1 or its text, the empty tuple, or an enumeration's first."""
    for kind in (str, int, float, bool):
        if getattr(model, "__supertype__", model) is kind:
            return kind(1)
    if t.get_origin(model) is tuple:
        return ()
    return next(iter(model))
