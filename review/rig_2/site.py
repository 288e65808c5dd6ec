"""The figures of two small deployments, after the users' pages."""

from __future__ import annotations

from typing import Any


def kelani(zones: list[str]) -> dict[str, Any]:
    """Return the settings' facts of Kelani's deployment, with these zones."""
    return {
        "nodes": 3,
        "zones": zones,
        "skew_ms": 1000.0,
        "teams": [
            {
                "name": f"clearance-desk-{number:02d}",
                "cpus": 0.0,
                "cpus_max": 0.0,
                "gpus": 0.0,
                "gpus_max": 0.0,
            }
            for number in range(6)
        ],
        "workers": {
            "report_s": 3.0,
            "lease_s": 17.0,
            "gang_wait_s": 40.0,
            "gang_peer_s": 4.0,
            "cancel_s": 47.0,
        },
        "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 1.5, "list_lag_s": 8.0},
        "limits": {"cores": 0.432, "memory_mb": 146.0, "sockets": 1000},
    }


def machine_type(
    label: str, cpus: float, gpus: float, memory_gb: float, yards: list[str], boot_s: float
) -> dict[str, Any]:
    """Return a machine type as the cloud lists it."""
    return {
        "label": label,
        "cpus": cpus,
        "accelerators": gpus,
        "memory_gb": memory_gb,
        "local_gb": 500.0,
        "fetch_gb_per_s": 9.0,
        "hourly": 0.21 * cpus / 4,
        "market_price": 0.09 * cpus / 4,
        "boot_s": boot_s,
        "yards": yards,
    }


def pulang() -> dict[str, Any]:
    """Return the settings' facts of Pulang's deployment."""
    limits = {
        "counter-team": (560.0, 1920.0, 40.0, 96.0),
        "courier-liaison": (240.0, 800.0, 16.0, 24.0),
        "platform-crew": (640.0, 960.0, 48.0, 128.0),
    }
    return {
        "nodes": 3,
        "zones": ["shah-alam"],
        "skew_ms": 250.0,
        "teams": [
            {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": gpus, "gpus_max": gpus_max}
            for name, (cpus, cpus_max, gpus, gpus_max) in limits.items()
        ],
        "workers": {
            "report_s": 3.0,
            "lease_s": 26.0,
            "gang_wait_s": 40.0,
            "gang_peer_s": 6.0,
            "cancel_s": 56.0,
        },
        "state": {"rps": 200.0, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 8},
        "cloud": {"rps": 3.0, "list_lag_s": 8.0},
        "limits": {"cores": 0.432, "memory_mb": 186.0, "sockets": 1000},
    }
