"""Puts an earlier set back where operators' files stand: file and what is adopted never differ in secret."""

import os
import shutil
from pathlib import Path


class NotWritten(Exception):
    """What is there is not of the shape that the earlier set had; the text says so."""


def write_back(path: Path, texts: dict[str, str]) -> None:
    """A file, or a folder of fragments, renamed into place. Raises `NotWritten` or `OSError`; then nothing changed."""
    fresh = path.with_name(f".{path.name}.reverting")
    if fresh.is_dir():
        shutil.rmtree(fresh)
    if not path.is_dir():
        if len(texts) != 1:
            raise NotWritten(
                f"{path} is a file, and that set was a folder of {len(texts)}: name a folder with --to"
            )
        with open(fresh, "w") as file:
            file.write(next(iter(texts.values())))
            file.flush()
            os.fsync(file.fileno())
        os.replace(fresh, path)
        return
    if path.is_symlink():
        raise NotWritten(f"{path} is a link: write to a folder with --to and turn the link")
    fresh.mkdir()
    for name, text in texts.items():
        (fresh / name).write_text(text)
    # A folder can't be renamed over one that is not empty: for a moment neither is there, and the last good set stays.
    aside = path.with_name(f".{path.name}.before")
    if aside.exists():
        shutil.rmtree(aside)
    os.replace(path, aside)
    os.replace(fresh, path)
    shutil.rmtree(aside)
