"""The operators' commands take the arguments that their pages name; no controller answers here."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from beamspar.sharing.command import main
from tests.test_program import settings_file


@pytest.mark.parametrize(
    ("words", "says"),
    [
        (["status"], "does not answer"),
        (["shares"], "does not answer"),
        (["hand-over"], "nobody decides"),
        (["move", "host-1", "--to", "rig-0"], "nobody decides"),
        (["leave", "rig-9", "--undo"], "no controller rig-9"),
    ],
    ids=lambda value: value[0] if isinstance(value, list) else None,
)
def test_a_command_without_controllers_ends_with_one_and_says_why(
    tmp_path: Path, words: list[str], says: str
) -> None:
    result = CliRunner().invoke(main, ["--config", str(settings_file(tmp_path)), *words])
    assert result.exit_code == 1, result.output
    assert says in result.output


def test_the_block_is_called_so_in_the_usage(tmp_path: Path) -> None:
    config = str(settings_file(tmp_path))
    result = CliRunner().invoke(main, ["--config", config, "move", "--help"])
    assert result.exit_code == 0
    assert "move [OPTIONS] BLOCK" in result.output
