"""Watches a path by inotify, and by polling for file systems without it."""

import os
from typing import Any

import gevent
from gevent.event import Event
from inotify_simple import INotify, flags

EVENT_MASK = (
    flags.MOVED_TO
    | flags.MOVED_FROM
    | flags.CLOSE_WRITE
    | flags.CREATE
    | flags.DELETE
    | flags.MODIFY
    | flags.ATTRIB
)

COALESCE_S = 0.005


class Watch:
    """A watched file, link or folder.

    inotify events only make the next check come sooner. The checks every `poll` seconds find what
    has no event, as on network file systems or after an overflow of the event queue.

    Attributes:
        path: Absolute.
        poll: Seconds.
        changed: Set when the path may have changed.
        events_read: Set when the pending events have been read.
        is_made_by_rename: Whether the last event about the path itself says that a rename put it
            in place.
        last_signature: Of the last check.
        inotify: None if there is none.
        watched: Folders by inotify's watch descriptors.
        greenlet: Waits for events; None without inotify.
    """

    def __init__(self, path: str, poll: float) -> None:
        """Starts to watch."""
        self.path, self.poll = os.path.abspath(path), poll
        self.changed, self.events_read = Event(), Event()
        self.is_made_by_rename = False
        self.last_signature: Any = None
        self.inotify: INotify | None = None
        self.watched: dict[int, str] = {}
        self._add_watches()
        self.greenlet = gevent.spawn(self._run) if self.inotify else None

    def _add_watches(self) -> None:
        # The folder that has the path, and the path itself if it is a folder; links are followed.
        try:
            self.inotify = self.inotify or INotify(nonblocking=True)
            for folder in {os.path.dirname(self.path), os.path.realpath(self.path)}:
                if os.path.isdir(folder):
                    self.watched[self.inotify.add_watch(folder, EVENT_MASK)] = folder
        except OSError:
            pass  # without inotify, polling finds the changes

    def _run(self) -> None:
        assert self.inotify is not None
        while True:
            gevent.socket.wait_read(self.inotify.fileno())
            self.events_read.clear()
            self.changed.set()
            self.events_read.wait()

    def wait(self, seconds: float) -> None:
        """Waits until the path may have changed, at most `poll` or the given time."""
        if self.changed.wait(min(self.poll, max(0.005, seconds))):
            # Limits the checks while others write to the folder without pause.
            gevent.sleep(COALESCE_S)
        self.changed.clear()

    def read_signature(self) -> Any:
        """Returns a value that differs if the path's content does; None if nothing is there.

        Blocks.
        """
        try:
            status = os.stat(self.path)
            if not os.path.isdir(self.path):
                return ("file", status.st_ino, status.st_dev, status.st_size, status.st_mtime_ns)
            self._add_watches()  # another folder may have replaced the watched one
            fragments = []
            with os.scandir(self.path) as entries:
                for entry in entries:
                    about = entry.stat()
                    fragments.append((entry.name, about.st_ino, about.st_size, about.st_mtime_ns))
            return ("folder", status.st_ino, status.st_dev, sorted(fragments))
        except OSError as error:
            return None if isinstance(error, FileNotFoundError) else ("unreadable", error.errno)

    def was_renamed(self, signature: Any) -> bool:
        """Returns whether a rename put the content with this signature in place.

        For a folder, this means the folder itself or the link to it, not a fragment. To be called
        after `read_signature`: the event of the rename has arrived by then.
        """
        for event in self.inotify.read(timeout=0) if self.inotify else ():
            folder = self.watched.get(event.wd, "")
            is_watched_path = os.path.join(folder, event.name) == self.path
            if is_watched_path or folder == os.path.realpath(self.path):
                self.changed.set()  # the event may be later than the signature
            if is_watched_path:
                self.is_made_by_rename = bool(event.mask & flags.MOVED_TO) or (
                    self.is_made_by_rename and not event.mask & flags.MODIFY
                )
        self.events_read.set()
        if signature == self.last_signature:
            return False  # a rename later than the signature counts at the next check
        self.last_signature, was_renamed, self.is_made_by_rename = (
            signature,
            self.is_made_by_rename,
            False,
        )
        return was_renamed

    def stop(self) -> None:
        """Stops watching."""
        if self.greenlet:
            self.greenlet.kill()
        if self.inotify:
            self.inotify.close()
