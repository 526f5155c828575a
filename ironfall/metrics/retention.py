"""The retentions and the paths of round-robin files. No I/O."""

import hashlib
import re
from pathlib import Path

import whisper

from ironfall.metrics.point import Malformed

_COMPONENT = re.compile(r"[A-Za-z0-9_%:@#+-]+\Z")


def archives(text: str) -> list[tuple[int, int]]:
    """Parses retentions such as `1s:1h,10s:1d` into (seconds, points), finest first.

    Raises:
        Malformed: The text is not valid, or whisper does not accept the retentions.

    >>> archives("1s:1h,10s:1d")
    [(1, 3600), (10, 8640)]
    """
    try:
        retentions: list[tuple[int, int]] = [
            whisper.parseRetentionDef(part.strip()) for part in text.split(",")
        ]
        retentions.sort()
        whisper.validateArchiveList(retentions)
    except (ValueError, whisper.InvalidConfiguration) as error:
        raise Malformed(
            f"{text!r} is not a list of retentions such as 1s:1h,10s:1d: {error}"
        ) from None
    return retentions


def series_path(folder: Path, series: str, tags: tuple[tuple[str, str], ...] = ()) -> Path:
    """Returns the path of a series' file.

    Each component of the name but the last is a folder. Tags follow the last component after `;`,
    as in Graphite's plaintext; a file name over 200 characters is shortened and ends in a digest.

    Raises:
        Malformed: A component has characters that are not allowed; so no path leads out of the
            folder.
    """
    components = series.split(".")
    if not all(_COMPONENT.match(component) for component in components):
        raise Malformed(f"{series!r} can't be used as a file path")
    last = components[-1] + "".join(
        f";{k}={re.sub('[^A-Za-z0-9_.%:@#+-]', '_', v)}" for k, v in sorted(tags)
    )
    if len(last) > 200:
        last = last[:150] + "-" + hashlib.sha256(last.encode()).hexdigest()[:16]
    return folder.joinpath(*components[:-1], f"{last}.wsp")
