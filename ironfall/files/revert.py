"""Writes an earlier set back to the operators' path, so that it holds what the director adopts."""

import os
import shutil
from pathlib import Path


class RestoreError(Exception):
    """The path can't take the earlier set; the text says why."""


def write_back(path: Path, texts: dict[str, str]) -> None:
    """Replaces a file, or a folder of fragments, by an earlier set.

    A file is replaced by one rename. A folder is replaced by two.

    Raises:
        RestoreError: The path is of another kind than the set, or is a link to a folder; it is
            unchanged.
        OSError: Writing failed.
    """
    new_path = path.with_name(f".{path.name}.reverting")
    if new_path.is_dir():
        shutil.rmtree(new_path)
    if not path.is_dir():
        if len(texts) != 1:
            raise RestoreError(
                f"{path} is a file, but the set was a folder of {len(texts)} fragments: "
                "choose a folder with --to"
            )
        with open(new_path, "w") as file:
            file.write(next(iter(texts.values())))
            file.flush()
            os.fsync(file.fileno())
        os.replace(new_path, path)
        return
    if path.is_symlink():
        raise RestoreError(f"{path} is a link: write to a folder with --to and change the link")
    new_path.mkdir()
    for name, text in texts.items():
        (new_path / name).write_text(text)
    # A rename can't replace a folder that is not empty, so for a moment nothing is at the path. The
    # director then keeps the last adopted set.
    old_folder = path.with_name(f".{path.name}.before")
    if old_folder.exists():
        shutil.rmtree(old_folder)
    os.replace(path, old_folder)
    os.replace(new_path, path)
    shutil.rmtree(old_folder)
