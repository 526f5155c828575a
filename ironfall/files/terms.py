"""The `(files ...)` section of a service's settings: the operators' files and a change's limits."""

from dataclasses import dataclass

from ironfall import words
from ironfall.words import Facts, Form


@dataclass(frozen=True)
class FilesTerms:
    """The section. Times are in tenths of a millisecond, sizes in bytes.

    Attributes:
        path: A file or a folder of fragments; empty for no files.
        store: Folder that keeps adopted sets over restarts; empty to keep none.
        settle: Time between the two equal readings of content written in place.
        poll: Time between two checks of the path.
        most: Size limit of all fragments together.
        read_time: Time limit of a reading.
        remove: The part of the ready capacity that a change may remove.
        cold: The part of the capacity that may be new cold hosts.
    """

    path: str = ""
    store: str = ""
    settle: int = 2_000
    poll: int = 10_000
    most: int = 16 * 2**20
    read_time: int = 200_000
    remove: float = 0.3
    cold: float = 0.5


def read_files(form: Form, facts: Facts) -> FilesTerms:
    """Reads the section; reports faults to the form's source."""
    defaults = FilesTerms()
    terms = FilesTerms(
        path=form.get("path", words.text, "") if form.node.parts else "",
        store=form.get("store", words.text, ""),
        settle=form.get("settle", words.time, defaults.settle),
        poll=form.get("poll", words.time, defaults.poll),
        most=form.get("most", words.size, defaults.most),
        read_time=form.get("read-time", words.time, defaults.read_time),
        remove=form.get("remove", words.part, defaults.remove),
        cold=form.get("cold", words.part, defaults.cold),
    )
    if form.node.parts and not terms.path:
        form.source.fault(form.node.at, '(files ...) needs (path "FILE")')
    return terms
