"""The teams' quota records in the state mirror, and the check of their validity."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.cluster.state_mirror import StateMirror
from beamspar.quota.allocations import AllocationKey, TeamQuota
from beamspar.quota.amounts import quota_of
from beamspar.settings import Team
from beamspar.state import keys

log = Logger(namespace="quota")


class QuotaRecords:
    """Parses each version of a team's record once, and logs faults in it."""

    def __init__(self, mirror: StateMirror, teams: dict[str, Team]) -> None:
        # Teams whose record, as it was read last, is invalid, so that nothing more may start.
        self.blocked_teams: set[str] = set()
        self._mirror = mirror
        self._teams = teams
        self._newest: dict[str, TeamQuota] = {}
        # The fault that was logged last of each record, and of usage above each allocation.
        self._reported: dict[AllocationKey, str] = {}

    def read(self, team: str) -> TeamQuota:
        """Return the team's record in the mirror."""
        value, version = self._mirror.values.get(keys.team_quota_key(team), ({}, 0))
        newest = self._newest.get(team)
        if newest is None or newest.version != version:
            newest = self._newest[team] = TeamQuota(value, version)
            if self._is_invalid(newest, team):
                self.blocked_teams.add(team)
            else:
                self.blocked_teams.discard(team)
        return newest

    def blocks_starts(self, team: str) -> bool:
        """Return whether the present record is invalid, so that nothing of the team may start."""
        self.read(team)
        return team in self.blocked_teams

    def check_health(self, team: str) -> None:
        """Log the faults of the team's record."""
        quota = self.read(team)
        unknown = sorted(quota.allocations.keys() - self._mirror.partitions.keys())
        fault = ""
        if unknown or self._is_invalid(quota, team):
            # The allocation of an unknown partition still counts, as its tasks may still run.
            limits = quota_of(self._teams[team])
            fault = (
                f"allocations {quota.raw if quota.is_readable else 'unreadable'}, quota {limits},"
                f" unreadable {sorted(quota.unreadable)}, unknown partitions {unknown}"
            )
        self.report_fault(AllocationKey("", team), fault)

    def report_fault(self, key: AllocationKey, fault: str) -> None:
        """Log an error when the fault of the key changes; an empty text stands for no fault."""
        if self._reported.get(key, "") != fault:
            self._reported[key] = fault
            if fault:
                log.error("team {team}: {fault}", team=key.team, fault=fault)

    def _is_invalid(self, quota: TeamQuota, team: str) -> bool:
        """Return whether the team's record is malformed or exceeds the quota."""
        is_unreadable = not quota.is_readable or bool(quota.unreadable)
        return is_unreadable or quota.exceeds_quota(self._teams[team])
