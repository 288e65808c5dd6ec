"""The operators' standby command: its output and its exit statuses."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from unittest import mock

import orjson
import pytest
from click.testing import CliRunner

from beamspar.standby import command
from beamspar.standby.command import NOT_DONE, NoAnswerError, main
from tests.test_quota_manager import settings

LEADING = {
    "member": "rig-0", "leader": "rig-0", "leading": True, "deciding": True, "term": 412,
    "index": 9, "lag": 0, "succession": ["rig-2", "rig-1"], "takeovers": 1,
}  # fmt: skip
FOLLOWING = {
    "member": "rig-1", "leader": "rig-0", "leading": False, "deciding": False, "term": 412,
    "index": 7, "lag": 2, "succession": ["rig-2", "rig-1"], "takeovers": 1,
}  # fmt: skip


class Controllers:
    """Fake controllers: fixed responses by address and path, or NoAnswerError."""

    def __init__(self) -> None:
        self.responses: dict[tuple[str, str], Any] = {}
        self.calls: list[tuple[str, str, Any]] = []

    def call(self, address: str, path: str, message: Any, limit_s: float) -> Any:
        self.calls.append((address, path, message))
        if (address, path) not in self.responses:
            raise NoAnswerError("does not answer: refused")
        return self.responses[(address, path)]


@pytest.fixture
def controllers() -> Iterator[Controllers]:
    fake = Controllers()
    addresses = {"rig-0": "rig-0:81", "rig-1": "rig-1:81", "rig-2": "rig-2:81"}
    with (
        mock.patch.object(command, "call", fake.call),
        mock.patch.object(command, "addresses", lambda settings: addresses),
        mock.patch.object(command, "load_settings", lambda path: settings()),
    ):
        yield fake


def run(*words: str) -> tuple[int, str]:
    result = CliRunner().invoke(main, ["--config", "rig-0.toml", *words])
    return result.exit_code, result.output


def test_status_shows_the_leader_the_followers_and_missing_responses(
    controllers: Controllers,
) -> None:
    controllers.responses = {("rig-0:81", "standby"): LEADING, ("rig-1:81", "standby"): FOLLOWING}
    assert run("status") == (
        0,
        "rig-0: decides, term 412, 9 decisions; next: rig-2, rig-1\n"
        "rig-1: follows rig-0, copied up to 7 of term 412, lag 2\n"
        "rig-2: does not answer: refused\n",
    )


def test_status_shows_a_leader_that_is_still_confirming_members(controllers: Controllers) -> None:
    confirming = {**LEADING, "deciding": False, "succession": []}
    controllers.responses = {("rig-0:81", "standby"): confirming}
    status, printed = run("status")
    assert status == NOT_DONE
    assert "rig-0: leads, and confirms who is alive, term 412, 9 decisions; next: nobody" in printed


def test_status_as_json_contains_the_controllers_responses(controllers: Controllers) -> None:
    controllers.responses = {("rig-0:81", "standby"): LEADING, ("rig-1:81", "standby"): FOLLOWING}
    status, printed = run("status", "--json")
    assert status == 0
    assert orjson.loads(printed) == {
        "rig-0": LEADING,
        "rig-1": FOLLOWING,
        "rig-2": {"error": "does not answer: refused"},
    }


def test_a_hand_over_request_goes_to_the_leader(controllers: Controllers) -> None:
    controllers.responses = {
        ("rig-0:81", "standby"): LEADING,
        ("rig-1:81", "standby"): FOLLOWING,
        ("rig-0:81", "hand-over"): {"done": True, "leader": "rig-1"},
    }
    assert run("hand-over", "--to", "rig-1") == (0, "rig-1 leads\n")
    assert controllers.calls[-1] == ("rig-0:81", "hand-over", {"to": "rig-1"})


def test_a_failed_hand_over_prints_the_reason(controllers: Controllers) -> None:
    assert run("hand-over") == (NOT_DONE, "nobody decides\n")
    controllers.responses = {("rig-0:81", "standby"): LEADING}
    assert run("hand-over") == (NOT_DONE, "rig-0: does not answer: refused\n")
    refusal = {"done": False, "leader": "rig-0", "reason": "no such follower has the whole log"}
    controllers.responses[("rig-0:81", "hand-over")] = refusal
    assert run("hand-over") == (
        NOT_DONE,
        "not handed over: no such follower has the whole log\n",
    )
