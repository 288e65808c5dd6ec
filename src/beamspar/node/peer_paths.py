"""The paths of messages between controllers. The values are part of the wire protocol."""

from __future__ import annotations

from enum import StrEnum

PEER_PREFIX = "/peer/"


class PeerPath(StrEnum):
    """The kinds of messages to a peer, by the last part of their path."""

    HEALTH_PROBE = "pulse"
    FORWARDED_REQUEST = "relay"
    HEARTBEAT = "beat"
    CAPACITY_REQUESTS = "asks"
    DESIRED_STATE = "sync"
    ATTEMPT_STATUSES = "statuses"
    CANCELLATIONS = "withdrawn"
    METRICS = "metrics"
    # Operators' requests, which are answered even by a controller that has left.
    SHARES = "shares"
    LEAVE = "leave"
