"""Reads and writes the base file, which records the accepted content that a folder is based on.

A publish sends these hashes along, so that it is refused where somebody else has changed one of
the services in the meantime.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import ErrorCode
from ..decoding import DecodingError, decode_json
from ..errors import ServiceFileError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

BASE_FILE_NAME = ".magnoliasill-base"


@attrs.frozen
class BaseFile:
    """The content of a base file.

    Attributes:
        services: For each service name, the hash of its blob as last published or pulled here.
    """

    services: dict[str, str] = attrs.field(factory=dict)


def read_base_file(folder: Path) -> dict[str, str]:
    """Return the service hashes that a folder is based on; empty if it has no base file.

    Args:
        folder: The folder of the service files.

    Raises:
        ServiceFileError: If the base file exists and can't be read or decoded.
    """
    path = folder / BASE_FILE_NAME
    try:
        return decode_json(path.read_bytes(), BaseFile).services
    except FileNotFoundError:
        return {}
    except (OSError, DecodingError) as error:
        advice = "remove the file and pull, or give --base VERSION"
        raise ServiceFileError(ErrorCode.FILE_UNREADABLE, f"{path}: {error}", advice) from error


def write_base_file(folder: Path, hashes: Mapping[str, str]) -> None:
    """Update the base file after a publish or a pull; entries of other services stay.

    Args:
        folder: The folder of the service files.
        hashes: The blob hash of each service that was published or pulled.

    Raises:
        ServiceFileError: If the base file can't be read or written.
    """
    merged = {**read_base_file(folder), **hashes}
    base = BaseFile(dict(sorted(merged.items())))
    path = folder / BASE_FILE_NAME
    temporary_path = folder / f"{BASE_FILE_NAME}.{os.getpid()}"
    try:
        temporary_path.write_bytes(msgspec.json.format(msgspec.json.encode(base), indent=2))
        temporary_path.replace(path)
    except OSError as error:
        message = f"could not write the base file {path}: {error}"
        raise ServiceFileError(ErrorCode.FILE_UNREADABLE, message) from error
