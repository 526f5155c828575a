"""Frames of the exchange protocol (docs/api.md) over asyncio streams."""

import asyncio
from typing import Any

from ironfall.generated import ironfall_pb2 as pb

LENGTH_BYTES = 4


def encode(**what: Any) -> bytes:
    """Returns a frame; the keyword is the field of `Frame` that the message goes into."""
    body = pb.Frame(**what).SerializeToString()
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


async def read(reader: asyncio.StreamReader) -> pb.Frame:
    """Returns the next frame.

    Raises:
        asyncio.IncompleteReadError: The peer has closed the connection.
        OSError: The connection is lost.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    return pb.Frame.FromString(await reader.readexactly(length))
