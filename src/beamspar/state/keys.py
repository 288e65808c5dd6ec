"""Keys of the state service, all in one place.

Stored keys keep the names that they were first given (`folio`, `block`, `budget`, `w`): a release
must find what earlier releases stored.
"""

from __future__ import annotations

# Control records, which every controller mirrors.
CONTROL_PREFIX = "c/"
FENCE_PREFIX = CONTROL_PREFIX + "fence/"
MEMBER_PREFIX = CONTROL_PREFIX + "member/"
PARTITION_PREFIX = CONTROL_PREFIX + "folio/"
SHARD_PREFIX = CONTROL_PREFIX + "block/"
TEAM_QUOTA_PREFIX = CONTROL_PREFIX + "budget/"
CANCELLATION_PREFIX = CONTROL_PREFIX + "w/"
LEADER = CONTROL_PREFIX + "leader"
MACHINE_TYPES = CONTROL_PREFIX + "types"
LEAVING_MEMBERS = CONTROL_PREFIX + "leaving"
# Jobs, which only their owners and those who answer users read.
JOB_PREFIX = "job/"
FINISHED_JOB_PREFIX = "end/"
TASKS_PREFIX = "task/"


def fence(member: str) -> str:
    """The record of a member's newest incarnation; its revision fences out older ones."""
    return FENCE_PREFIX + member


def member(name: str) -> str:
    """The record that exists while the member's registration lease lasts."""
    return MEMBER_PREFIX + name


def partition(name: str) -> str:
    """The record of who owns a partition of jobs."""
    return PARTITION_PREFIX + name


def shard(name: str) -> str:
    """The record of who holds a shard of machines."""
    return SHARD_PREFIX + name


def team_quota(team: str) -> str:
    """The record of the allocations of a team's quota."""
    return TEAM_QUOTA_PREFIX + team


def cancellation(job: str) -> str:
    """The mark of a job that is cancelled and not over yet."""
    return CANCELLATION_PREFIX + job


def job(job_id: str) -> str:
    """The record of a job that is not over."""
    return JOB_PREFIX + job_id


def finished_job(job_id: str) -> str:
    """What stays of a job that is over."""
    return FINISHED_JOB_PREFIX + job_id


def tasks(job_id: str) -> str:
    """The prefix of a job's further chunks of tasks."""
    return f"{TASKS_PREFIX}{job_id}/"


def kind_and_name(control_key: str) -> tuple[str, str]:
    """The two parts of a control key: the prefix of its kind, and what it names.

    Keys of single records (`LEADER`) are their own kind and name nothing.
    """
    kind, slash, name = control_key.removeprefix(CONTROL_PREFIX).partition("/")
    return CONTROL_PREFIX + kind + slash, name
