"""The paths of messages between controllers. The values are part of the wire protocol."""

from __future__ import annotations

from enum import StrEnum

PEER_PREFIX = "/peer/"


class PeerPath(StrEnum):
    """The kinds of messages to a peer, by the last part of their path.

    Each comment names the request and the response. The packages `sharing` and `standby` define
    further paths.
    """

    # An empty object; HealthProbeResponse.
    HEALTH_PROBE = "pulse"
    # A ForwardedRequest; ForwardedResponse.
    FORWARDED_REQUEST = "relay"
    # A MemberHeartbeat to the leader; HeartbeatResponse.
    HEARTBEAT = "beat"
    # A CapacityRequestBatch to the leader; CapacityOffers.
    CAPACITY_REQUESTS = "asks"
    # A list of DesiredStateUpdate to a machine controller; AttemptStatusBatch.
    DESIRED_STATE = "sync"
    # An AttemptStatusBatch to a job controller; an empty object.
    ATTEMPT_STATUSES = "statuses"
    # A CancellationNotice; an empty object.
    CANCELLATIONS = "withdrawn"
    # An empty object; Metrics.
    METRICS = "metrics"
    # Operators' requests, which are answered even by a controller that has left.
    SHARES = "shares"
    LEAVE = "leave"
