"""Releases of the service that a simulated deployment can run: present and production.

The present release is the source tree. The production release is the commit that
`deploy/service.toml` names, extracted from the repository's history into `target/` and loaded as
a second set of modules. It can't be loaded in a clone without that commit.
"""

from __future__ import annotations

import functools
import importlib
import io
import os
import shutil
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

ROOT = Path(__file__).resolve().parent.parent.parent
PACKAGE = "beamspar"


# By the module with the Node class, whose name differs by release: the HTTP module.
HTTP_MODULES = {"control.node": "http", "node.node": "transport.http"}


class Release:
    """One set of the service's modules, with access to what a deployment needs."""

    def __init__(self, modules: dict[str, ModuleType], node_module: str) -> None:
        self.modules = modules
        self.node_module = node_module

    def module(self, name: str) -> Any:
        return self.modules[f"{PACKAGE}.{name}"]

    @property
    def call_failed(self) -> type[Exception]:
        """The exception for a failed call, which has another name in the production release."""
        http = self.module(HTTP_MODULES[self.node_module])
        exception: type[Exception] = getattr(http, "CallFailedError", None) or http.CallFailed
        return exception

    def node(
        self, clock: Any, net: Any, raw_settings: dict[str, Any], operator_settings: Any, rng: Any
    ) -> Any:
        """Return a controller; settings unknown to its release are ignored, as in a file."""
        settings_module = self.module("settings")
        settings = msgspec.convert(raw_settings, settings_module.Settings)
        name = "Tuning" if hasattr(settings_module, "Tuning") else "OperatorSettings"
        release_operator_settings = msgspec.convert(
            msgspec.to_builtins(operator_settings), getattr(settings_module, name)
        )
        return self.module(self.node_module).Node(
            clock, net, settings, release_operator_settings, rng
        )


def _loaded_modules() -> dict[str, ModuleType]:
    return {n: m for n, m in sys.modules.items() if n.split(".")[0] == PACKAGE}


@functools.cache
def present() -> Release:
    """Return the release in the source tree."""
    importlib.import_module(f"{PACKAGE}.node.node")
    return Release(_loaded_modules(), "node.node")


@functools.cache
def production() -> Release:
    """Return the release that the deploy file names as running in production."""
    folder = extract()
    present()
    present_modules = _loaded_modules()
    for name in present_modules:
        del sys.modules[name]
    sys.path.insert(0, str(folder / "src"))
    importlib.invalidate_caches()
    try:
        importlib.import_module(f"{PACKAGE}.control.node")
        release = Release(_loaded_modules(), "control.node")
        _resolve(release)
    finally:
        sys.path.remove(str(folder / "src"))
        for name in _loaded_modules():
            del sys.modules[name]
        sys.modules.update(present_modules)
    source_file = release.module("control.node").__file__
    assert source_file and source_file.startswith(str(folder)), source_file
    return release


def _resolve(release: Release) -> None:
    """Resolve the annotations of all messages and records now.

    msgspec resolves them at first use, in the module that `sys.modules` then has under that name.
    Once the present modules are restored there, messages of the production release would get
    field types of the present one.
    """
    for module in release.modules.values():
        for value in vars(module).values():
            if isinstance(value, type) and issubclass(value, msgspec.Struct):
                msgspec.json.Decoder(value)


def production_commit() -> str:
    """Return the commit that runs in production, from the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    return str(deploy["production"])


def extract() -> Path:
    """Return the folder below `target/` with the production sources, extracting them first.

    Several test processes may call this at the same time.
    """
    commit = production_commit()
    folder = ROOT / "target" / f"production-{commit}"
    if folder.exists():
        return folder
    archive = subprocess.run(
        ["git", "archive", commit, "src"], cwd=ROOT, capture_output=True, check=False
    )
    if archive.returncode:
        raise RuntimeError(f"no sources of {commit}: {archive.stderr.decode().strip()}")
    folder.parent.mkdir(exist_ok=True)
    extracted = Path(tempfile.mkdtemp(dir=folder.parent))
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(extracted, filter="data")
    try:
        os.rename(extracted, folder)
    except OSError:
        # Another process was faster.
        shutil.rmtree(extracted)
        if not folder.exists():
            raise
    return folder
