"""Reads request frames from a stream, and answers each."""

from typing import BinaryIO

from ironfall.simulator_adapter.frames import (
    RECORD_COUNT_BYTES,
    REQUEST_HEADER,
    MalformedFrameError,
)
from ironfall.simulator_adapter.instances import Instances


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers frames until the source ends.

    Raises:
        MalformedFrameError: A frame doesn't follow the layout. It isn't answered.
    """
    instances = Instances()
    frame_count = 0
    while header := source.read(REQUEST_HEADER.size):
        if len(header) < REQUEST_HEADER.size:
            raise MalformedFrameError(
                f"frame {frame_count}",
                f"the input ended after {len(header)} of {REQUEST_HEADER.size} header bytes",
            )
        batch, clock_ms, length, record_count = REQUEST_HEADER.unpack(header)
        body_bytes = length - RECORD_COUNT_BYTES
        body = source.read(body_bytes) if body_bytes >= 0 else b""
        if len(body) < body_bytes or body_bytes < 0:
            raise MalformedFrameError(
                f"batch {batch}",
                f"the body should have {body_bytes} bytes, but {len(body)} were read",
            )
        sink.write(instances.handle_frame(batch, clock_ms, record_count, body))
        sink.flush()
        frame_count += 1
