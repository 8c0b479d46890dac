"""Builders of service files and configuration heads that several test modules share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from magnoliasill.versions.manifest import Head, hash_blob
from magnoliasill.versions.service_file import Release, Route, ServiceFile, encode_service_file

if TYPE_CHECKING:
    from collections.abc import Iterable


def build_service(name: str, depends_on: Iterable[str] = (), release: str = "r1") -> ServiceFile:
    """Return a service with one route `view` and one release named by `release`."""
    route = Route("view", "GET", f"/{name}", depends_on=list(depends_on))
    return ServiceFile(name, "team", [route], [Release(release)], release)


def build_head(version: int, files: Iterable[ServiceFile]) -> tuple[Head, dict[str, bytes]]:
    """Return the head of a configuration with some service files, and their blobs by hash."""
    encoded = {file.service: encode_service_file(file) for file in files}
    services = {name: hash_blob(blob) for name, blob in encoded.items()}
    blobs = {hash_blob(blob): blob for blob in encoded.values()}
    return Head(version, f"publish-{version}", 0.0, services), blobs
