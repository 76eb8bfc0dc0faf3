"""Tests that imports go the ways that the packages are meant to have."""

import ast
import pathlib
import typing as t
import unittest

from parameterized import parameterized

from tests.processes import ROOT

SOURCE = ROOT / "src" / "coralfall"
#: Modules beside the packages that start the others; all else at the top is shared by everybody.
STARTERS = frozenset(("__main__", "cli"))
PACKAGES = frozenset(path.parent.name for path in SOURCE.glob("*/__init__.py"))


def imports_of(path: pathlib.Path) -> t.Set[str]:
    """Packages, or modules at the top, that a module imports when it runs."""
    parts = path.relative_to(SOURCE).with_suffix("").parts
    found = set()
    for node in _running(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        base = list(parts[:-1])[: len(parts) - node.level]
        module = base + (node.module.split(".") if node.module else [])
        found |= {(module + [alias.name])[0] for alias in node.names}
    return found


def _running(node: ast.AST) -> t.Iterator[ast.AST]:
    for child in ast.iter_child_nodes(node):
        if isinstance(child, ast.If) and "TYPE_CHECKING" in ast.dump(child.test):
            continue
        yield child
        yield from _running(child)


def used_by(package: str) -> t.Set[str]:
    """Other packages that a package imports."""
    found: t.Set[str] = set()
    for path in (SOURCE / package).glob("*.py"):
        found |= imports_of(path) & PACKAGES
    return found - {package}


class LayersTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("process", set()),
            ("http", {"process"}),
            ("stores", {"process", "bundles"}),
            ("placement", {"process"}),
            ("traffic", {"process", "http", "stores", "peering", "forwarding", "placement"}),
            ("platform", {"process", "stores", "traffic"}),
        ]
    )
    def test_a_package_uses_no_others(self, package: str, allowed: t.Set[str]) -> None:
        self.assertEqual(set(), used_by(package) - allowed)

    @parameterized.expand([("platform",), ("standins",)])
    def test_nobody_uses(self, package: str) -> None:
        users = {other for other in PACKAGES if package in used_by(other)}
        self.assertEqual(set(), users)

    def test_what_all_share_uses_no_package(self) -> None:
        for path in SOURCE.glob("*.py"):
            if path.stem not in STARTERS:
                self.assertEqual(set(), imports_of(path) & PACKAGES, path.name)

    def test_the_rules_see_something(self) -> None:
        self.assertIn("traffic", used_by("platform"))
        self.assertIn("exceptions", imports_of(SOURCE / "traffic" / "forwarder.py"))
