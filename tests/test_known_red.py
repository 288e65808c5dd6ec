"""The list of known failing tests excuses only the tests that it names, while they fail."""

from __future__ import annotations

import importlib.util
from pathlib import Path
from types import ModuleType

import pytest

SCRIPT = Path(__file__).resolve().parent.parent / ".ci" / "known_red.py"


def load() -> ModuleType:
    spec = importlib.util.spec_from_file_location("known_red", SCRIPT)
    assert spec and spec.loader
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize(
    "listed, code",
    [
        (None, 0),
        (["test_it.py::test_red, a cause, 1"], 0),
        (["test_it.py::test_green, a cause, 1"], 1),
        (["test_it.py::test_none, a cause, 1"], 1),
        (["test_it.py::test_red, a cause, 1"] * 4, 1),
    ],
    ids=["no list", "red", "green", "no such test", "too many"],
)
def test_known_red(tmp_path: Path, listed: list[str] | None, code: int) -> None:
    (tmp_path / "test_it.py").write_text(
        "def test_red():\n    assert 0\n\ndef test_green():\n    assert 1\n"
    )
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text("\n".join(listed) + "\n")
    assert load().check(tmp_path) == code
