"""Stores the contents of slices over the latest versions (docs/DESIGN.md section 5.4)."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence

from ..identifiers import BundleVersion, SliceName
from .state_records import SliceVersion


class SliceHistory:
    """The contents of each slice with the version that introduced them, the oldest first."""

    def __init__(
        self,
        past: dict[SliceName, list[SliceVersion]] | None = None,
        dropped_removal: BundleVersion = BundleVersion(0),  # noqa: B008
    ) -> None:
        self.past = past if past is not None else {}
        self.dropped_removal = dropped_removal
        """Latest version with a removal that is no longer recorded in ``past``."""
        self.superseded_bytes = sum(_bytes_of(entries[:-1]) for entries in self.past.values())
        """Total size of the contents that a later version has replaced; the latest contents don't count."""
        self._changed_in: deque[tuple[BundleVersion, tuple[SliceName, ...]]] = deque(self._changes())

    def _changes(self) -> Iterable[tuple[BundleVersion, tuple[SliceName, ...]]]:
        changes: dict[BundleVersion, list[SliceName]] = {}
        for name, past in sorted(self.past.items()):
            for version, _ in past:
                changes.setdefault(version, []).append(name)
        return [(version, tuple(changes[version])) for version in sorted(changes)]

    def add(self, version: BundleVersion, changed: Mapping[SliceName, bytes], removed: Sequence[SliceName]) -> None:
        """Records a new version and the slices that it changed or removed."""
        for name, data in changed.items():
            self._append(name, (version, data))
        for name in removed:
            self._append(name, (version, None))
        self._changed_in.append((version, (*changed, *removed)))

    def _append(self, name: SliceName, entry: SliceVersion) -> None:
        past = self.past.setdefault(name, [])
        self.superseded_bytes += _bytes_of(past[-1:])
        past.append(entry)

    def drop_before(self, oldest: BundleVersion) -> None:
        """Drops the contents that only versions before ``oldest`` have."""
        while self._changed_in and self._changed_in[0][0] <= oldest:
            _, names = self._changed_in.popleft()
            for name in names:
                if name in self.past:
                    self._drop_slice_before(name, oldest)

    def _drop_slice_before(self, name: SliceName, oldest: BundleVersion) -> None:
        past = self.past[name]
        keep = max((index for index, (version, _) in enumerate(past) if version <= oldest), default=0)
        self.superseded_bytes -= _bytes_of(past[:keep])
        del past[:keep]
        version, data = past[0]
        if data is None and version <= oldest:
            self.dropped_removal = max(self.dropped_removal, version)
            del past[0]
            if not past:
                del self.past[name]

    def latest_of(self, name: SliceName) -> bytes | None:
        """Returns the content of the slice in the latest version; None when that version has no such slice."""
        past = self.past.get(name)
        return past[-1][1] if past else None

    def latest(self) -> dict[SliceName, bytes]:
        """Returns all slices of the latest version, sorted by name."""
        contents = {name: self.past[name][-1][1] for name in sorted(self.past)}
        return {name: data for name, data in contents.items() if data is not None}

    def at(self, version: BundleVersion) -> dict[SliceName, bytes]:
        """Returns all slices of that version, sorted by name."""
        contents = ((name, self.content_at(name, version)[1]) for name in sorted(self.past))
        return {name: data for name, data in contents if data is not None}

    def content_at(self, name: SliceName, version: BundleVersion) -> SliceVersion:
        """Returns the content of the slice in ``version``, and the version that introduced it.

        The content is None when that version removed the slice; the result is (0, None) before its first version.
        """
        return next((entry for entry in reversed(self.past[name]) if entry[0] <= version), (BundleVersion(0), None))

    def changed_between(self, since: BundleVersion, up_to: BundleVersion) -> list[SliceName]:
        """Returns the sorted names of the slices changed after ``since`` and up to ``up_to``. Searches all slices."""
        return sorted(name for name in self.past if self.content_at(name, up_to)[0] > since)


def _bytes_of(entries: Sequence[SliceVersion]) -> int:
    return sum(len(data) for _, data in entries if data is not None)
