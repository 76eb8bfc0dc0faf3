"""Tests that every header and field from outside is documented and read where the page says.

The page docs/PLATFORM.md lists the words that targets, callers, the store and the operator use,
each with the module that reads it and a name that this module refers to.
"""

import ast
import functools
import re
import typing as t
import unittest

from coralfall.platform import rows, store
from coralfall.platform.names import HEADERS
from coralfall.traffic import model
from tests.processes import ROOT

_SOURCE = ROOT / "src" / "coralfall"
_PAGE = (ROOT / "docs" / "PLATFORM.md").read_text()
_CODE = re.compile(r"`([^`]+)`")
_SECTION = _PAGE.partition("## What is said, who reads it, what it binds")[2].partition("\n## ")[0]
_READ, _, _UNREAD = _SECTION.partition("### Read by nobody")
#: Structs that decode the platform's rows; all of their fields have to be listed.
_ROW_STRUCTS = (
    rows._Route,
    rows._Backend,
    rows._Tenant,
    rows._Service,
    rows._Limits,
    rows._Config,
    rows._Info,
    rows._Status,
    rows._Server,
    store._Row,
    store._Rows,
)
#: Types that rows are converted to; each field has to be read where decisions are made.
_MODEL_STRUCTS = (
    model.Backend,
    model.CallerLimits,
    model.DesiredState,
    model.Route,
    model.ServiceRules,
    model.Target,
    model.Tenant,
)
#: Fields of these that no decision depends on, as the page says.
_UNUSED = {"max_connections"}


class ListedWords(t.NamedTuple):
    """One row of the page's tables."""

    #: All words in the first column.
    words: t.Tuple[str, ...]
    #: Module that reads the words, and the name in it that refers to them.
    module: str
    reference: str


def listed_words() -> t.List[ListedWords]:
    found = []
    for line in _READ.splitlines():
        columns = line.strip("|").split(" | ")
        if not line.startswith("|") or len(columns) < 3 or columns[0].strip() in ("word", "---"):
            continue
        reader = _CODE.findall(columns[1])
        if len(reader) == 2:
            found.append(ListedWords(tuple(_CODE.findall(columns[0])), *reader))
    return found


@functools.cache
def references(module: str) -> t.FrozenSet[str]:
    """Returns the names and attributes that a module reads, and its literals."""
    found = set()
    for node in ast.walk(ast.parse((_SOURCE / f"{module}.py").read_text())):
        if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Load):
            found.add(node.attr)
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Load):
            found.add(node.id)
        elif isinstance(node, ast.Constant) and isinstance(node.value, (str, bytes, int)):
            value = node.value
            found.add(value.decode("latin-1") if isinstance(value, bytes) else str(value))
    return frozenset(found)


def header_names(module: str) -> t.Set[str]:
    """Returns the ``HeaderNames`` fields that a module reads from variables ending in ``names``."""
    found = set()
    for node in ast.walk(ast.parse((_SOURCE / f"{module}.py").read_text())):
        if not isinstance(node, ast.Attribute) or not isinstance(node.ctx, ast.Load):
            continue
        base = ast.unparse(node.value)
        if base.endswith("names") or (base == "self" and module == "traffic/wire"):
            found.add(node.attr)
    return found


class DocumentedWordsTest(unittest.TestCase):
    def test_each_word_is_read_where_documented(self) -> None:
        self.assertGreater(len(listed_words()), 50)
        for line in listed_words():
            with self.subTest(words=line.words):
                self.assertIn(line.reference, references(line.module))

    def test_each_header_is_listed(self) -> None:
        words = {word.lower() for line in listed_words() for word in line.words}
        for field in HEADERS.__struct_fields__:
            name = getattr(HEADERS, field).decode()
            with self.subTest(header=name):
                self.assertIn(name.lower(), words)

    def test_each_header_is_read_by_its_name(self) -> None:
        module_by_word = {
            word.lower(): line.module for line in listed_words() for word in line.words
        }
        for field in HEADERS.__struct_fields__:
            module = module_by_word[getattr(HEADERS, field).decode().lower()]
            with self.subTest(header=field, module=module):
                self.assertIn(field, header_names(module))

    def test_each_field_of_a_row_is_listed(self) -> None:
        words = set(_CODE.findall(_SECTION))
        for struct in _ROW_STRUCTS:
            for field in struct.__struct_encode_fields__:
                with self.subTest(struct=struct.__name__, field=field):
                    self.assertIn(field, words)

    def test_each_model_field_is_used_unless_documented_as_unused(self) -> None:
        read: t.Set[str] = set()
        for package in ("placement", "traffic"):
            for path in (_SOURCE / package).glob("*.py"):
                if path.stem != "model":
                    read |= references(f"{package}/{path.stem}")
        for struct in _MODEL_STRUCTS:
            for field in struct.__struct_fields__:
                with self.subTest(struct=struct.__name__, field=field):
                    self.assertEqual(field not in _UNUSED, field in read)
        self.assertIn("`maxConns`", _UNREAD)
        self.assertNotIn("`priority`", _UNREAD)
        self.assertIn(("priority",), [line.words for line in listed_words()])
