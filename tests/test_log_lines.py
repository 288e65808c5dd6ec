"""Each placeholder of a log line gets a value; otherwise the line would contain `{machine}`."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path
from string import Formatter

ROOT = Path(__file__).resolve().parent.parent
LEVELS = {"debug", "info", "warn", "error", "failure"}


def log_calls() -> Iterator[tuple[str, ast.Call]]:
    for path in sorted((ROOT / "src").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "log"
                and node.func.attr in LEVELS
            ):
                yield f"{path.relative_to(ROOT)}:{node.lineno}", node


def test_every_placeholder_of_a_log_line_has_a_value() -> None:
    calls = list(log_calls())
    assert len(calls) > 50
    for where, call in calls:
        line = call.args[0]
        assert isinstance(line, ast.Constant) and isinstance(line.value, str), where
        placeholders = {name for _, name, _, _ in Formatter().parse(line.value) if name}
        passed = {keyword.arg for keyword in call.keywords}
        assert placeholders <= passed, (where, line.value, placeholders - passed)
