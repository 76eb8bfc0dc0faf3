"""Writes ``SETTINGS.md`` from the settings' own definitions: run it after changing them.

``PYTHONPATH=src python docs/settings_reference.py`` writes the file beside this one.
"""

import ast
import inspect
import pathlib
import sys
import typing as t

import msgspec

from coralfall.bundles.trust import TrustSettings
from coralfall.settings import EntrySettings, PlatformStandinSettings, TargetStandinSettings

from coralfall.platform.contracts import EntryFile

PAGE = pathlib.Path(__file__).with_name("SETTINGS.md")
_INTRODUCTION = """# Settings

Each process reads one TOML file, checked whole before anything starts: an unknown key, a wrong
type or a missing key ends with one line that names file, key, what was found and what is allowed,
and exit code 2. Times are in seconds unless the name says otherwise.

This page is written by `docs/settings_reference.py` from the definitions in
`src/coralfall/settings.py`, `src/coralfall/dispatch_settings.py`, `src/coralfall/traffic/settings.py` and
`src/coralfall/platform/contracts.py`; change them, not it.
"""
_PROCESSES = {
    "`coralfall entry --settings FILE`": EntrySettings,
    "`coralfall steer --settings FILE`": EntryFile,
    "`coralfall standin platform --settings FILE`": PlatformStandinSettings,
    "`coralfall standin target --settings FILE`": TargetStandinSettings,
    "Trust file of `coralfall bundle submit --trust FILE`": TrustSettings,
}
_NAME_BY_TYPE = {
    msgspec.inspect.StrType: "string",
    msgspec.inspect.IntType: "integer",
    msgspec.inspect.FloatType: "number",
    msgspec.inspect.BoolType: "true or false",
}


def render() -> str:
    """The page."""
    lines = [_INTRODUCTION.rstrip()]
    for title, model in _PROCESSES.items():
        lines += ["", f"## {title}"]
        _add_tables(lines, model, "")
    return "\n".join(lines) + "\n"


def _add_tables(lines: t.List[str], model: t.Type[msgspec.Struct], path: str) -> None:
    """The keys of one TOML table, then those of the tables within it."""
    meaning_by_name = _meanings(model)
    nested = []
    if path:
        lines += ["", f"### `[{path}]`"]
    lines += ["", "| key | type | default | meaning |", "|---|---|---|---|"]
    for field in msgspec.structs.fields(model):
        meaning = meaning_by_name[field.name]
        shape = msgspec.inspect.type_info(field.type)
        key = f"{path}.{field.name}" if path else field.name
        inner = _inner_table(shape)
        if inner is not None:
            inner_path = key if isinstance(shape, msgspec.inspect.StructType) else f"{key}.NAME"
            nested.append((inner, inner_path))
        lines.append(f"| `{field.name}` | {_type_text(shape)} | {_default(field)} | {meaning} |")
    for inner, inner_path in nested:
        _add_tables(lines, inner, inner_path)


def _inner_table(shape: msgspec.inspect.Type) -> t.Optional[t.Type[msgspec.Struct]]:
    if isinstance(shape, msgspec.inspect.DictType):
        shape = shape.value_type
    return shape.cls if isinstance(shape, msgspec.inspect.StructType) else None


def _type_text(shape: msgspec.inspect.Type) -> str:
    if isinstance(shape, msgspec.inspect.StructType):
        return "table"
    if isinstance(shape, msgspec.inspect.DictType):
        return f"table of {_type_text(shape.value_type)}s by name"
    if isinstance(shape, msgspec.inspect.VarTupleType):
        return f"list of {_type_text(shape.item_type)}s"
    if isinstance(shape, msgspec.inspect.LiteralType):
        return "one of " + ", ".join(f'`"{value}"`' for value in shape.values)
    if isinstance(shape, msgspec.inspect.EnumType):
        return "one of " + ", ".join(f'`"{value.value}"`' for value in shape.cls)
    if isinstance(shape, msgspec.inspect.UnionType):
        known = [part for part in shape.types if not isinstance(part, msgspec.inspect.NoneType)]
        return " or ".join(_type_text(part) for part in known)
    return _NAME_BY_TYPE[type(shape)]


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    if field.default is None:
        return "none"
    if isinstance(field.default, msgspec.Struct):
        return "see below"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _meanings(model: t.Type[msgspec.Struct]) -> t.Dict[str, str]:
    """The ``#:`` comment above each field, inherited ones included.

    :raises ValueError: if a field has none.
    """
    meanings: t.Dict[str, str] = {}
    for base in reversed(model.__mro__):
        if issubclass(base, msgspec.Struct) and base is not msgspec.Struct:
            meanings.update(_own_meanings(base))
    return meanings


def _own_meanings(model: t.Type[msgspec.Struct]) -> t.Dict[str, str]:
    source = inspect.getsource(model)
    lines = source.splitlines()
    (definition,) = ast.parse(source).body
    assert isinstance(definition, ast.ClassDef)
    meanings = {}
    for statement in definition.body:
        if not isinstance(statement, ast.AnnAssign) or not isinstance(statement.target, ast.Name):
            continue
        comments: t.List[str] = []
        position = statement.lineno - 2
        while lines[position].strip().startswith("#:"):
            comments.insert(0, lines[position].strip()[2:].strip())
            position -= 1
        if not comments:
            raise ValueError(f"{model.__name__}.{statement.target.id} has no comment")
        meanings[statement.target.id] = " ".join(comments).replace("``", "`").replace("|", "\\|")
    return meanings


if __name__ == "__main__":
    PAGE.write_text(render(), encoding="utf-8")
    print(f"wrote {PAGE}", file=sys.stderr)
