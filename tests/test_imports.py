"""Tests that the package has no import cycles, including imports for annotations only."""

from __future__ import annotations

import ast
from pathlib import Path

import testtools

ROOT = Path(__file__).parents[1] / "src" / "magnoliasill"


def list_imports(path: Path) -> set[str]:
    """Return the paths of the package's modules that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.ImportFrom) or not node.level:
            continue
        base = path.parent
        for _ in range(node.level - 1):
            base = base.parent
        names = [node.module] if node.module else [alias.name for alias in node.names]
        for name in names:
            target = base / (name.replace(".", "/") + ".py")
            if target.exists():
                found.add(str(target.relative_to(ROOT)))
    return found


def find_import_cycles(graph: dict[str, set[str]]) -> list[list[str]]:
    """Return the groups of modules that import each other, directly or through others."""
    reachable = {name: set(targets) for name, targets in graph.items()}
    for middle in graph:
        for name in graph:
            if middle in reachable[name]:
                reachable[name] |= reachable[middle]
    groups = {
        tuple(sorted(other for other in reachable[name] if name in reachable[other]))
        for name in graph
        if name in reachable[name]
    }
    return sorted(list(group) for group in groups)


class CircleTest(testtools.TestCase):
    def test_no_circles(self) -> None:
        paths = list(ROOT.rglob("*.py"))
        graph = {str(path.relative_to(ROOT)): list_imports(path) for path in paths}
        self.assertGreater(len(graph), 100)
        self.assertEqual([], find_import_cycles(graph))

    def test_a_circle_is_found(self) -> None:
        self.assertEqual(
            [["a", "b"]], find_import_cycles({"a": {"b"}, "b": {"a", "c"}, "c": set()})
        )
