"""The base file: which accepted content the service files of a folder started from."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import attrs
import msgspec

from ..codes import ErrorCode
from ..errors import ServiceFileError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

BASE_NAME = ".magnoliasill-base"


@attrs.frozen
class Base:
    """The hash of each service as this folder published or pulled it last."""

    services: dict[str, str] = attrs.field(factory=dict)


def read_base_file(folder: Path) -> dict[str, str]:
    """Return the hashes that the files of a folder started from; empty for a new folder.

    Args:
        folder: The folder of the service files.

    Raises:
        ServiceFileError: If the file is there and not readable.
    """
    path = folder / BASE_NAME
    try:
        return msgspec.json.decode(path.read_bytes(), type=Base).services
    except FileNotFoundError:
        return {}
    except (OSError, UnicodeDecodeError, msgspec.MsgspecError) as error:
        advice = "remove it and pull, or give --base VERSION"
        raise ServiceFileError(ErrorCode.FILE_UNREADABLE, f"{path}: {error}", advice) from error


def write_base_file(folder: Path, hashes: Mapping[str, str]) -> None:
    """Record what was published or pulled, beside what is recorded of other services.

    Args:
        folder: The folder of the service files.
        hashes: The hash of each service.

    Raises:
        ServiceFileError: If the file can't be written.
    """
    merged = {**read_base_file(folder), **hashes}
    base = Base(dict(sorted(merged.items())))
    path = folder / BASE_NAME
    draft = folder / f"{BASE_NAME}.{os.getpid()}"
    try:
        draft.write_bytes(msgspec.json.format(msgspec.json.encode(base), indent=2))
        draft.replace(path)
    except OSError as error:
        message = f"the base was not recorded: {path}: {error}"
        raise ServiceFileError(ErrorCode.FILE_UNREADABLE, message) from error
