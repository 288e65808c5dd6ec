"""The documents match the code: packages, modules, and log lines of warnings and errors."""

from __future__ import annotations

import ast
import re
from pathlib import Path

from tests.test_log_lines import log_calls

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "src" / "beamspar"


def page(name: str) -> str:
    return (ROOT / "docs" / name).read_text()


def modules() -> dict[str, str]:
    """Return the first paragraph of the docstring of each module in a package."""
    docstrings = {}
    for path in sorted(SOURCES.glob("*/*.py")):
        if path.name != "__init__.py":
            doc = ast.get_docstring(ast.parse(path.read_text())) or ""
            name = f"{path.parent.name}.{path.stem}"
            docstrings[name] = doc.split("\n\n")[0].replace("\n", " ")
    return docstrings


def test_every_package_is_on_the_architecture_page() -> None:
    listed = set(re.findall(r"^\| `(\w+)` \|", page("architecture.md"), flags=re.M))
    packages = {path.parent.name for path in SOURCES.glob("*/__init__.py")}
    top_level_modules = {path.stem for path in SOURCES.glob("*.py")} - {"__init__"}
    assert packages | top_level_modules <= listed


def test_the_page_of_modules_lists_each_with_its_docstring() -> None:
    listed = dict(re.findall(r"^\| `(\w+\.\w+)` \| (.*) \|$", page("modules.md"), flags=re.M))
    assert listed == modules()


def test_every_warning_and_error_is_on_the_page_of_log_lines() -> None:
    text = page("log_lines.md")
    lines = {
        call.args[0].value
        for _, call in log_calls()
        if call.func.attr in ("warn", "error")  # type: ignore[attr-defined]
    }
    assert len(lines) > 5
    for line in lines:
        assert f"`{line}`" in text, line
