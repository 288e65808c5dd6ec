"""The paths of messages between controllers. The values are part of the wire protocol."""

from __future__ import annotations

from enum import StrEnum

PEER_PREFIX = "/peer/"


class PeerPath(StrEnum):
    """What a message to a peer is about: the last part of its path."""

    HEALTH_PROBE = "pulse"
    FORWARDED_REQUEST = "relay"
    HEARTBEAT = "beat"
    CAPACITY_REQUESTS = "asks"
    DESIRED_STATE = "sync"
    ATTEMPT_STATUSES = "statuses"
    CANCELLATIONS = "withdrawn"
    # Operators' requests, which a controller that has left still answers.
    SHARES = "shares"
    LEAVE = "leave"
