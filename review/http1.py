"""A small HTTP/1.1 codec on asyncio streams, for the stand-ins of the review."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

CHUNK_BYTES = 65_536


@dataclass
class Head:
    """The first line of a message and its headers, with lower-case names."""

    line: str
    headers: dict[str, str]


class MessageError(Exception):
    """The connection ended within a message, or the message is malformed."""


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read the head of a message; return None if the connection ended before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise MessageError(f"cut within a head: {error.partial[:80]!r}") from error
    line, *fields = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(line, headers)


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], to_end: bool = False
) -> bytes:
    """Read a complete body.

    Args:
        reader: The stream.
        headers: The headers of the message.
        to_end: Whether a body without a length ends with its connection.

    Raises:
        MessageError: If the connection ends within it.
    """
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                parts.append(await reader.readexactly(size))
                if await reader.readexactly(2) != b"\r\n":
                    raise MessageError("no end of line after a chunk")
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return b"".join(parts)
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read() if to_end else b""
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise MessageError(f"cut within a body: {error}") from error


def encode_message(line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message whose body has a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    return f"{line}\r\n{encode_fields(fields)}\r\n".encode("latin-1") + body


def encode_fields(headers: dict[str, str]) -> str:
    """Return header lines."""
    return "".join(f"{name}: {value}\r\n" for name, value in headers.items())


@dataclass
class Answer:
    """What a client received: a status, headers and body, or the reason why there is no answer."""

    status: int = 0
    headers: dict[str, str] | None = None
    body: bytes = b""
    failure: str = ""


async def send_request(
    address: str,
    line: str,
    headers: dict[str, str],
    chunks: list[bytes] | None = None,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send a request on a new connection and read its answer.

    Args:
        address: The `ip:port`.
        line: Method, target and protocol version.
        headers: The headers.
        chunks: The body in chunked transfer encoding, or None to send `body` with a length.
        body: The body, if there are no chunks.
        timeout_s: Seconds after which the client gives up.
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            sending = asyncio.create_task(_send(writer, line, headers, chunks, body))
            try:
                head = await read_head(reader)
                if head is None:
                    return Answer(failure="closed without an answer")
                answer_body = await read_body(reader, head.headers, to_end=True)
            finally:
                sending.cancel()
            return Answer(int(head.line.split()[1]), head.headers, answer_body)
    except TimeoutError:
        return Answer(failure="timed out")
    except (OSError, MessageError) as error:
        return Answer(failure=f"{type(error).__name__}: {error}")
    finally:
        if writer is not None:
            writer.close()


async def _send(
    writer: asyncio.StreamWriter,
    line: str,
    headers: dict[str, str],
    chunks: list[bytes] | None,
    body: bytes,
) -> None:
    try:
        if chunks is None:
            writer.write(encode_message(line, headers, body))
            await writer.drain()
            return
        fields = {**headers, "Transfer-Encoding": "chunked"}
        writer.write(f"{line}\r\n{encode_fields(fields)}\r\n".encode("latin-1"))
        for chunk in chunks:
            writer.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    except OSError:
        return  # the answer, or its absence, tells
