"""How long round-robin files keep what, and what they are called. No I/O."""

import hashlib
import re
from pathlib import Path

import whisper

from ironfall.metrics.point import Malformed

_PIECE = re.compile(r"[A-Za-z0-9_%:@#+-]+\Z")


def archives(text: str) -> list[tuple[int, int]]:
    """Retentions such as `1s:1h,10s:1d` as whisper has them, finest first; raises `Malformed`.

    >>> archives("1s:1h,10s:1d")
    [(1, 3600), (10, 8640)]
    """
    try:
        found: list[tuple[int, int]] = [
            whisper.parseRetentionDef(part.strip()) for part in text.split(",")
        ]
        found.sort()
        whisper.validateArchiveList(found)
    except (ValueError, whisper.InvalidConfiguration) as wrong:
        raise Malformed(f"{text!r} are no retentions such as 1s:1h,10s:1d: {wrong}") from None
    return found


def file_of(folder: Path, series: str, tags: tuple[tuple[str, str], ...] = ()) -> Path:
    """A series' file: a folder for each piece; tags after `;`, as a series is written in Graphite's plaintext.

    Raises `Malformed` for a name that would lead out of the folder or is too long for a file.
    """
    pieces = series.split(".")
    if not all(_PIECE.match(piece) for piece in pieces):
        raise Malformed(f"{series!r} can't be a file's name")
    last = pieces[-1] + "".join(
        f";{k}={re.sub('[^A-Za-z0-9_.%:@#+-]', '_', v)}" for k, v in sorted(tags)
    )
    if len(last) > 200:
        last = last[:150] + "-" + hashlib.sha256(last.encode()).hexdigest()[:16]
    return folder.joinpath(*pieces[:-1], f"{last}.wsp")
