"""All keys in the state service.

Stored keys keep their original names (`folio`, `block`, `budget`, `w`), as each release must find
the records that earlier releases stored.
"""

from __future__ import annotations

# Control records, which every controller mirrors in memory.
CONTROL_PREFIX = "c/"
FENCE_PREFIX = CONTROL_PREFIX + "fence/"
MEMBER_PREFIX = CONTROL_PREFIX + "member/"
PARTITION_PREFIX = CONTROL_PREFIX + "folio/"
SHARD_PREFIX = CONTROL_PREFIX + "block/"
TEAM_QUOTA_PREFIX = CONTROL_PREFIX + "budget/"
CANCELLATION_PREFIX = CONTROL_PREFIX + "w/"
LEADER_KEY = CONTROL_PREFIX + "leader"
MACHINE_TYPES_KEY = CONTROL_PREFIX + "types"
LEAVING_MEMBERS_KEY = CONTROL_PREFIX + "leaving"
# Job records, which are read only by their owners and by controllers that answer users.
JOB_PREFIX = "job/"
FINISHED_JOB_PREFIX = "end/"
TASKS_PREFIX = "task/"


def fence_key(member: str) -> str:
    """Return the key of a member's newest incarnation; its revision fences out older ones."""
    return FENCE_PREFIX + member


def member_key(name: str) -> str:
    """Return the key of a member's registration, which exists while the member holds its lease."""
    return MEMBER_PREFIX + name


def partition_key(name: str) -> str:
    """Return the key of a job partition's record, which names its owner."""
    return PARTITION_PREFIX + name


def shard_key(name: str) -> str:
    """Return the key of a machine shard's record, which names its holder."""
    return SHARD_PREFIX + name


def team_quota_key(team: str) -> str:
    """Return the key of the allocations of a team's quota."""
    return TEAM_QUOTA_PREFIX + team


def cancellation_key(job: str) -> str:
    """Return the key that marks an unfinished job as cancelled."""
    return CANCELLATION_PREFIX + job


def job_key(job_id: str) -> str:
    """Return the key of an unfinished job's record."""
    return JOB_PREFIX + job_id


def finished_job_key(job_id: str) -> str:
    """Return the key of a finished job's final record."""
    return FINISHED_JOB_PREFIX + job_id


def tasks_prefix(job_id: str) -> str:
    """Return the key prefix of a job's further chunks of tasks."""
    return f"{TASKS_PREFIX}{job_id}/"


def kind_and_name(control_key: str) -> tuple[str, str]:
    """Split a control key into the prefix of its kind and the name of its object.

    Keys of single records (such as `LEADER_KEY`) are their own kind, with an empty name.
    """
    kind, slash, name = control_key.removeprefix(CONTROL_PREFIX).partition("/")
    return CONTROL_PREFIX + kind + slash, name
