"""Notices of confirmed cancellations, sent to each peer until it acknowledges them."""

from __future__ import annotations

from collections.abc import Iterable

from beamspar.node.incarnation import CurrentIncarnation
from beamspar.node.peer_client import PeerClient
from beamspar.node.peer_paths import PeerPath
from beamspar.protocol.peer_messages import CancellationNotice
from beamspar.transport.clock import run_in_background


class CancellationNotices:
    """Holds the confirmed cancellations that peers have not acknowledged yet.

    They outlive a lost registration, because users have received their confirmation.
    """

    def __init__(
        self, current: CurrentIncarnation, peers: PeerClient, members: Iterable[str]
    ) -> None:
        self.current = current
        self.peers = peers
        # Per peer and job, the revision at which the cancellation was stored.
        self.unacknowledged: dict[str, dict[str, int]] = {member: {} for member in members}
        # Peers to which a notice is in flight; each peer gets one at a time.
        self.notifying: set[str] = set()

    def confirm(self, job: str, revision: int) -> None:
        """Notify all members of a cancellation that is about to be confirmed to its user.

        Members also observe the cancellation in the state service, unless the service is down or
        fails for them alone. A member that owns the job or holds its machines would then go on
        running the job until its leases expire.
        """
        registration = self.current.registration
        if registration is not None and not registration.is_ended:
            registration.mirror.observe_cancellations({job: revision})
        for pending in self.unacknowledged.values():
            pending[job] = revision
        self.send_pending()

    def send_pending(self) -> None:
        """Send each peer the cancellations that it has not acknowledged.

        A cancellation is dropped once the mirror shows that the job has ended.
        """
        for member, pending in self.unacknowledged.items():
            self._drop_ended(pending)
            if pending and member not in self.notifying:
                self.notifying.add(member)
                run_in_background(self._notify(member), "cancellation notice")

    def _drop_ended(self, pending: dict[str, int]) -> None:
        registration = self.current.registration
        if registration is None or not registration.is_started:
            return
        mirror = registration.mirror
        for job in [job for job, revision in pending.items() if revision <= mirror.revision]:
            if job not in mirror.cancelled:
                del pending[job]

    async def _notify(self, member: str) -> None:
        jobs = dict(self.unacknowledged[member])
        try:
            acknowledged = await self.peers.notify(
                member, PeerPath.CANCELLATIONS, CancellationNotice(jobs)
            )
        finally:
            self.notifying.discard(member)
        if acknowledged:
            pending = self.unacknowledged[member]
            for job, revision in jobs.items():
                if pending.get(job) == revision:
                    del pending[job]
            self.send_pending()
