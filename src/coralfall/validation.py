"""Validates untrusted data against typed models and collects all faults.

msgspec stops at the first error; this module walks structs, mappings and arrays of structs itself
and has msgspec check the leaves.
"""

import difflib
import enum
import typing as t

import msgspec

from .exceptions import Fault

_MISSING = object()


def collect_faults(raw: t.Any, model: t.Any, path: str = "") -> t.List[Fault]:
    """Returns every fault in ``raw`` that keeps it from being converted to ``model``.

    :param raw: document from a TOML or JSON parser.
    :param model: a ``msgspec.Struct`` class, or any other type that msgspec can convert to.
    :param path: dotted path of ``raw`` within the whole input.
    :return: faults in the order of the input; empty if ``raw`` can be converted.
    """
    if _is_struct(model):
        return _struct_faults(raw, model, path)
    origin = t.get_origin(model)
    if origin is dict and isinstance(raw, dict):
        value_model = t.get_args(model)[1]
        return _mapping_faults(raw, value_model, path)
    if origin is tuple and isinstance(raw, (list, tuple)) and _is_struct(t.get_args(model)[0]):
        faults: t.List[Fault] = []
        for index, item in enumerate(raw):
            faults += collect_faults(item, t.get_args(model)[0], f"{path}[{index}]")
        return faults
    return _leaf_faults(raw, model, path)


def _is_struct(model: t.Any) -> bool:
    return isinstance(model, type) and issubclass(model, msgspec.Struct)


def _struct_faults(raw: t.Any, model: t.Type[msgspec.Struct], path: str) -> t.List[Fault]:
    if not isinstance(raw, dict):
        return [Fault(path, "wrong-type", f"expected a table, found {_type_name(raw)}")]
    fields = {field.encode_name: field for field in msgspec.structs.fields(model)}
    faults = []
    for name in raw:
        if name in fields:
            continue
        faults.append(
            Fault(
                _join_path(path, str(name)),
                "unknown-field",
                _unknown_field_message(str(name), fields),
            )
        )
    for name, field in fields.items():
        value = raw.get(name, _MISSING)
        if value is not _MISSING:
            faults += collect_faults(value, field.type, _join_path(path, name))
            continue
        if field.required:
            faults.append(Fault(_join_path(path, name), "missing-field", "is required"))
    return faults


def _mapping_faults(raw: t.Dict[t.Any, t.Any], model: t.Any, path: str) -> t.List[Fault]:
    faults: t.List[Fault] = []
    for key, value in raw.items():
        faults += collect_faults(value, model, _join_path(path, str(key)))
    return faults


def _leaf_faults(raw: t.Any, model: t.Any, path: str) -> t.List[Fault]:
    try:
        msgspec.convert(raw, model, strict=True)
    except msgspec.ValidationError as error:
        detail = str(error).split(" - at ")[0]
        code = "wrong-type" if detail.startswith("Expected") else "wrong-value"
        if isinstance(model, type) and issubclass(model, enum.Enum):
            detail += f"; allowed are {', '.join([repr(value.value) for value in model])}"
        return [Fault(path, code, f"found {raw!r}: {detail}")]
    return []


def _unknown_field_message(name: str, fields: t.Iterable[str]) -> str:
    close = difflib.get_close_matches(name, list(fields), n=1)
    if close:
        return f"is not known; did you mean {close[0]!r}?"
    return f"is not known; allowed are {', '.join(sorted(fields))}"


def _type_name(value: t.Any) -> str:
    names: t.Dict[type, str] = {dict: "a table", list: "an array", str: "a string"}
    return names.get(type(value), repr(value))


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
