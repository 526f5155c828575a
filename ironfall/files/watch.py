"""Notices of the kernel that something changed at a path, and looks at it in between, for where there are none."""

import os
from typing import Any

import gevent
from gevent.event import Event
from inotify_simple import INotify, flags

MASK = flags.MOVED_TO | flags.MOVED_FROM | flags.CLOSE_WRITE | flags.CREATE | flags.DELETE | flags.MODIFY | flags.ATTRIB


class Watch:
    """Notices only hurry a look: a look that no notice came for (network disks, a full queue) comes every `poll`."""

    def __init__(self, path: str, poll: float) -> None:
        self.path, self.poll = path, poll
        self.stir = Event()
        self.renamed: set[str] = set()  # names that a rename put in place, since the last look
        self.notices: INotify | None = None
        self.watched: dict[int, str] = {}
        self._begin()
        self.greenlet = gevent.spawn(self._run) if self.notices else None

    def _begin(self) -> None:
        # The folder that the path is in, and the path itself where it is a folder: symlinks are followed to both.
        try:
            self.notices = self.notices or INotify(nonblocking=True)
            for folder in {os.path.dirname(os.path.abspath(self.path)), os.path.realpath(self.path)}:
                if os.path.isdir(folder):
                    self.watched[self.notices.add_watch(folder, MASK)] = folder
        except OSError:
            pass  # none to be had: polling finds it

    def _run(self) -> None:
        notices = self.notices
        assert notices is not None
        while True:
            gevent.socket.wait_read(notices.fileno())
            for event in notices.read(timeout=0):
                if event.mask & flags.MOVED_TO:
                    self.renamed.add(os.path.join(self.watched.get(event.wd, ""), event.name))
                    if len(self.renamed) > 10_000:
                        self.renamed.clear()
            self.stir.set()

    def wait(self, seconds: float) -> None:
        self.stir.wait(min(self.poll, max(0.005, seconds)))
        self.stir.clear()

    def look(self) -> tuple[Any, bool]:
        """What tells one state of the path from another, None where nothing is; and whether one rename made it."""
        renamed, self.renamed = self.renamed, set()
        try:
            found = os.stat(self.path)
            if not os.path.isdir(self.path):
                whole = os.path.abspath(self.path) in renamed
                return ("file", found.st_ino, found.st_dev, found.st_size, found.st_mtime_ns), whole
            self._begin()  # it may be another folder by now
            fragments = []
            with os.scandir(self.path) as entries:
                for entry in entries:
                    about = entry.stat()
                    fragments.append((entry.name, about.st_ino, about.st_size, about.st_mtime_ns))
            # A folder is whole at once only where the folder itself, or the link to it, was renamed into place.
            return ("folder", found.st_ino, found.st_dev, sorted(fragments)), os.path.abspath(self.path) in renamed
        except OSError as wrong:
            return None if isinstance(wrong, FileNotFoundError) else ("unreadable", wrong.errno), False

    def stop(self) -> None:
        if self.greenlet:
            self.greenlet.kill()
        if self.notices:
            self.notices.close()
