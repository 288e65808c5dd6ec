"""The teams' quota records as the mirror has them, and their health check."""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.cluster.state_mirror import StateMirror
from beamspar.quota.allocations import AllocationKey, TeamQuota
from beamspar.quota.amounts import quota_of
from beamspar.settings import Team
from beamspar.state import keys

log = Logger(namespace="quota")


class QuotaRecords:
    """Reads each version of a team's record once, and reports what is wrong with it."""

    def __init__(self, mirror: StateMirror, teams: dict[str, Team]) -> None:
        # Teams whose record as it was read last lets nothing more start.
        self.blocked_teams: set[str] = set()
        self._mirror = mirror
        self._teams = teams
        self._newest: dict[str, TeamQuota] = {}
        # What was reported last of each record, and of use above each allocation.
        self._reported: dict[AllocationKey, str] = {}

    def read(self, team: str) -> TeamQuota:
        """The team's record as the mirror has it."""
        value, version = self._mirror.values.get(keys.team_quota(team), ({}, 0))
        known = self._newest.get(team)
        if known is None or known.version != version:
            known = self._newest[team] = TeamQuota(value, version)
            if self._is_invalid(known, team):
                self.blocked_teams.add(team)
            else:
                self.blocked_teams.discard(team)
        return known

    def blocks_starts(self, team: str) -> bool:
        """Does the present record let nothing more of the team start?"""
        self.read(team)
        return team in self.blocked_teams

    def check_health(self, team: str) -> None:
        """Log what is wrong with the team's record."""
        quota = self.read(team)
        unknown = sorted(quota.allocations.keys() - self._mirror.partitions.keys())
        fault = ""
        if unknown or self._is_invalid(quota, team):
            # An unknown partition's allocation counts: its tasks can't be proven gone.
            limits = quota_of(self._teams[team])
            fault = (
                f"allocations {quota.raw if quota.is_readable else 'unreadable'}, quota {limits},"
                f" unreadable {sorted(quota.unreadable)}, unknown partitions {unknown}"
            )
        self.report_fault(AllocationKey("", team), fault)

    def report_fault(self, key: AllocationKey, fault: str) -> None:
        """Log an error for each fault, not for each time that it is met; empty for none."""
        if self._reported.get(key, "") != fault:
            self._reported[key] = fault
            if fault:
                log.error("team {team}: {fault}", team=key.team, fault=fault)

    def _is_invalid(self, quota: TeamQuota, team: str) -> bool:
        """Is the team's record such that nothing more of the team may start?"""
        is_unreadable = not quota.is_readable or bool(quota.unreadable)
        return is_unreadable or quota.exceeds_quota(self._teams[team])
