"""The `(files ...)` part of a service's terms: where operators' servers and weights stand, and what a change may do."""

from dataclasses import dataclass

from ironfall import words
from ironfall.words import Facts, Form


@dataclass(frozen=True)
class FilesTerms:
    """No path: no files. Times are tenths of a millisecond, sizes bytes, parts of the ready capacity."""

    path: str = ""
    store: str = ""  # a folder; none: nothing is kept over a restart
    settle: int = 2_000
    poll: int = 10_000
    most: int = 16 * 2**20
    read_time: int = 200_000
    remove: float = 0.3
    cold: float = 0.5


def read_files(form: Form, facts: Facts) -> FilesTerms:
    usual = FilesTerms()
    terms = FilesTerms(
        path=form.get("path", words.text, "") if form.node.parts else "",
        store=form.get("store", words.text, ""),
        settle=form.get("settle", words.time, usual.settle),
        poll=form.get("poll", words.time, usual.poll),
        most=form.get("most", words.size, usual.most),
        read_time=form.get("read-time", words.time, usual.read_time),
        remove=form.get("remove", words.part, usual.remove),
        cold=form.get("cold", words.part, usual.cold),
    )
    if form.node.parts and not terms.path:
        form.source.fault(form.node.at, '(files ...) needs (path "FILE")')
    return terms
