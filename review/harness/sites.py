"""Settings of the pages' two small deployments, with fewer machines."""

from __future__ import annotations

from typing import Any

PULANG: dict[str, Any] = {
    "zones": ["shah-alam"],
    "workers": {
        "report_s": 3.0, "lease_s": 26.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 56.0,
    },
    "state": {"rps": 200.0, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 8},
    "cloud": {"rps": 3.0, "list_lag_s": 8.0},
    "limits": {"cores": 0.432, "memory_mb": 186.0, "sockets": 1000},
    "teams": [
        {"name": "counter-team", "cpus": 560.0, "cpus_max": 1920.0, "gpus": 40.0, "gpus_max": 96.0},
        {"name": "courier-liaison", "cpus": 240.0, "cpus_max": 800.0, "gpus": 16.0,
         "gpus_max": 24.0},
        {"name": "platform-crew", "cpus": 640.0, "cpus_max": 960.0, "gpus": 48.0,
         "gpus_max": 128.0},
    ],
    "kinds": [
        {"label": "kotak-kecil", "cpus": 8.0, "accelerators": 0.0, "memory_gb": 32.0,
         "local_gb": 100.0, "fetch_gb_per_s": 1.0, "hourly": 0.5, "market_price": 0.22,
         "boot_s": 25.0, "yards": ["shah-alam"]},
        {"label": "gudang-gpu", "cpus": 96.0, "accelerators": 8.0, "memory_gb": 768.0,
         "local_gb": 800.0, "fetch_gb_per_s": 4.0, "hourly": 28.84, "market_price": 12.4,
         "boot_s": 30.0, "yards": ["shah-alam"]},
    ],
    "machines": [("kotak-kecil", "shah-alam", 29)],
}  # fmt: skip

KELANI_ZONES = ["colombo-north", "colombo-south", "hambantota", "katunayake"]
KELANI: dict[str, Any] = {
    "zones": KELANI_ZONES,
    "workers": {
        "report_s": 3.0, "lease_s": 17.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 47.0,
    },
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 24},
    "cloud": {"rps": 1.5, "list_lag_s": 8.0},
    "limits": {"cores": 0.432, "memory_mb": 146.0, "sockets": 1000},
    "teams": [{"name": f"clearance-desk-0{i}"} for i in range(6)],
    "kinds": [
        {"label": "dhow-small", "cpus": 4.0, "accelerators": 0.0, "memory_gb": 8.0,
         "local_gb": 70.0, "fetch_gb_per_s": 0.5, "hourly": 0.21, "market_price": 0.09,
         "boot_s": 15.0, "yards": KELANI_ZONES},
        {"label": "warehouse-wide", "cpus": 64.0, "accelerators": 0.0, "memory_gb": 128.0,
         "local_gb": 50.0, "fetch_gb_per_s": 1.0, "hourly": 3.39, "market_price": 1.52,
         "boot_s": 15.0, "yards": KELANI_ZONES},
        {"label": "crane-heavy", "cpus": 96.0, "accelerators": 8.0, "memory_gb": 576.0,
         "local_gb": 800.0, "fetch_gb_per_s": 4.6, "hourly": 25.84, "market_price": 12.06,
         "boot_s": 40.0, "yards": KELANI_ZONES},
    ],
    "machines": [(kind, zone, count) for zone in KELANI_ZONES
                 for kind, count in (("dhow-small", 4), ("warehouse-wide", 1))],
}  # fmt: skip
