"""The operators' commands accept their documented arguments; no controller is running here."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from beamspar.sharing.command import main
from tests.test_program import settings_file


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["status"], "does not answer"),
        (["shares"], "does not answer"),
        (["hand-over"], "nobody decides"),
        (["move", "host-1", "--to", "rig-0"], "nobody decides"),
        (["leave", "rig-9", "--undo"], "no controller rig-9"),
    ],
    ids=lambda value: value[0] if isinstance(value, list) else None,
)
def test_a_command_without_controllers_exits_with_1_and_the_reason(
    tmp_path: Path, arguments: list[str], expected: str
) -> None:
    result = CliRunner().invoke(main, ["--config", str(settings_file(tmp_path)), *arguments])
    assert result.exit_code == 1, result.output
    assert expected in result.output


def test_the_usage_of_move_names_its_argument_block(tmp_path: Path) -> None:
    config = str(settings_file(tmp_path))
    result = CliRunner().invoke(main, ["--config", config, "move", "--help"])
    assert result.exit_code == 0
    assert "move [OPTIONS] BLOCK" in result.output
