"""Stores the bundles and orders of the bundle state: applies records and reads past versions (docs/DESIGN.md 5.4).

``OrderDecisions`` and ``EditionDecisions`` decide against its public interface; see ``BundleState``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import msgspec

from ..identifiers import BundleVersion, OrderId, SliceName
from .editions import EDITION_SLICE, edition_number_in
from .gradual import gradually_while
from .model import Bundle, BundleDelta, Manifest, OrderOutcome
from .orders import difference
from .parse import empty_bundle, parse_bundle, parse_steps
from .slice_history import SliceHistory
from .state_records import (
    OUTCOMES,
    AcceptedRecord,
    DecidedOrder,
    HistoryEntry,
    RefusedRecord,
    StateSnapshot,
    record_decoder,
)

MAX_HISTORY_BYTES = 8 * 1024 * 1024
"""Largest total size of contents that later versions have replaced; above it the oldest versions are dropped early."""
MIN_HISTORY_VERSIONS = 10
"""Number of past versions that are retained even above ``MAX_HISTORY_BYTES``."""
MAX_WALKED_VERSIONS = 1_000
"""For a reader that is more versions behind than this, all slices are searched instead of walking the history."""


class StoredBundles:
    """The part of the bundle state that records and snapshots define; it is the same on every control daemon.

    It owns the versions with their slices and manifests, and the decided orders. ``outcome_retention`` is the number
    of orders whose outcome is stored, ``history_versions`` the number of past versions that are retained.
    """

    _version: BundleVersion
    _parsed: Bundle | None
    """The latest bundle in parsed form; None when it was neither decided here nor parsed since."""
    _candidate: Bundle | None
    """The bundle of the record that ``decide`` returned last; None once a record of a version is applied."""
    _manifests: dict[BundleVersion, Manifest]
    """Manifests of the latest version and of the retained past versions."""
    _slices: SliceHistory
    _decided: dict[OrderId, DecidedOrder]
    _decided_in_sequence: deque[DecidedOrder]
    """The decided orders whose outcome is stored, the oldest first."""
    _history: dict[BundleVersion, DecidedOrder]
    """Accepted orders by the version that they made."""
    _interned_signers: dict[str, str]
    _interned_names: dict[SliceName, SliceName]
    """One shared string object per signer and per slice name; decided orders refer to them."""

    def __init__(self, outcome_retention: int, history_versions: int) -> None:
        self._outcome_retention = outcome_retention
        self._history_versions = history_versions
        self._clear()

    @property
    def version(self) -> BundleVersion:
        """The latest decided version, which may not be durable yet."""
        return self._version

    # used by decisions

    def edition_number(self) -> int:
        """Returns the operator's number of the latest edition; 0 when there is none."""
        return edition_number_in(self._slices.latest_of(EDITION_SLICE))

    def decided_order(self, order: OrderId) -> DecidedOrder | None:
        """Returns an order with its first outcome; None when it was not decided, or its outcome is no longer stored."""
        return self._decided.get(order)

    def order_of_version(self, version: BundleVersion) -> DecidedOrder | None:
        """Returns the accepted order that made this version; None when it is no longer stored."""
        return self._history.get(version)

    def latest_bundle(self) -> Bundle:
        """Returns the latest bundle; parses it when its record was applied without having been decided here."""
        bundle = self._parsed
        if bundle is None:
            bundle = empty_bundle()
            if self._version > 0:
                bundle = parse_bundle(self._manifests[self._version], self._slices.latest()).unwrap()
            self._parsed = bundle
        return bundle

    async def latest_bundle_gradually(self) -> Bundle | None:
        """Does the work of ``latest_bundle`` in steps; returns None when another version was applied meanwhile."""
        if self._parsed is None and self._version > 0:
            manifest = self._manifests[self._version]
            steps = parse_steps(manifest, self._slices.latest())
            parsed = await gradually_while(lambda: self._manifests.get(self._version) is manifest, steps)
            if parsed is None or self._manifests.get(self._version) is not manifest:
                return None
            self._parsed = parsed.unwrap()
        return self.latest_bundle()

    def is_latest(self, bundle: Bundle) -> bool:
        """Returns whether this object is what ``latest_bundle`` returned and no other version was applied since."""
        return self._parsed is bundle

    def acceptance_record(self, base: Bundle, bundle: Bundle, order_fingerprint: bytes) -> bytes:
        """Returns the journal record of an accepted order, and stores its parsed bundle for ``apply``."""
        changed, removed = difference(base.slices, bundle.slices)
        self._candidate = bundle
        return msgspec.msgpack.encode(AcceptedRecord(bundle.manifest, changed, removed, order_fingerprint))

    # applying records

    def apply(self, record: bytes) -> None:
        """Applies a journal record: an accepted or a refused order."""
        decoded = record_decoder.decode(record)
        if isinstance(decoded, RefusedRecord):
            self._apply_refusal(decoded)
        else:
            self._apply_acceptance(decoded)

    def _apply_refusal(self, refused: RefusedRecord) -> None:
        outcome = refused.outcome
        self._add_decided(
            DecidedOrder(
                outcome.order,
                refused.fingerprint,
                "conflict" if outcome.outcome == "conflict" else "invalid",
                outcome.version,
                outcome.reason,
                refused.signer,
                refused.signed_at,
            )
        )

    def _apply_acceptance(self, accepted: AcceptedRecord) -> None:
        manifest = accepted.manifest
        if manifest.version != self._version + 1:
            raise RuntimeError(f"record of version {manifest.version} after version {self._version}")
        candidate, self._candidate = self._candidate, None
        self._parsed = candidate if candidate is not None and candidate.manifest == manifest else None
        self._version = manifest.version
        self._manifests[manifest.version] = manifest
        changed = {self._interned_name(name): data for name, data in accepted.changed.items()}
        removed = tuple(map(self._interned_name, accepted.removed))
        self._slices.add(manifest.version, changed, removed)
        self._add_decided(
            DecidedOrder(
                manifest.order,
                accepted.fingerprint,
                "accepted",
                manifest.version,
                "",
                self._interned_signers.setdefault(manifest.signer, manifest.signer),
                manifest.signed_at,
                tuple(changed),
                removed,
            )
        )
        self._drop_old_versions()

    def _interned_name(self, name: SliceName) -> SliceName:
        """Returns one shared string object per slice name, so that decided orders don't each store a copy."""
        return self._interned_names.setdefault(name, name)

    def _add_decided(self, entry: DecidedOrder) -> None:
        """Stores the outcome of an order, and drops the oldest outcomes above ``outcome_retention``."""
        self._decided[entry.order] = entry
        if entry.outcome == "accepted":
            self._history[entry.version] = entry
        self._decided_in_sequence.append(entry)
        while len(self._decided_in_sequence) > self._outcome_retention:
            oldest = self._decided_in_sequence.popleft()
            self._decided.pop(oldest.order, None)
            if oldest.outcome == "accepted":
                self._history.pop(oldest.version, None)

    def _drop_old_versions(self) -> None:
        """Drops the manifests and contents of versions that are older than the retained ones.

        Fewer versions are retained when many slices change in each of them, since the history has to fit into memory
        and into the journal.
        """
        oldest = BundleVersion(self._version - self._history_versions)
        self._drop_before(oldest)
        while self._slices.superseded_bytes > MAX_HISTORY_BYTES and oldest < self._version - MIN_HISTORY_VERSIONS:
            oldest = BundleVersion(oldest + 1)
            self._drop_before(oldest)

    def _drop_before(self, oldest: BundleVersion) -> None:
        """Drops the manifest of the version before ``oldest``, and the contents that only versions before it have."""
        self._manifests.pop(BundleVersion(oldest - 1), None)
        self._slices.drop_before(oldest)

    # reading; the caller names a version that it knows to be durable

    def manifest_at(self, version: BundleVersion) -> Manifest | None:
        """Returns the manifest of a version; None for version 0 and for a version that is not stored."""
        return self._manifests.get(version)

    def delta_since(self, since: BundleVersion, up_to: BundleVersion) -> BundleDelta | None:
        """Returns the difference between versions ``since`` and ``up_to``, without the versions in between.

        ``up_to`` is the latest durable version; later decisions don't show. ``since`` of the delta is 0 when the
        reader has no bundle, or is so far behind that removals it has not seen are no longer recorded; the delta then
        has all slices. Returns None when ``up_to`` is not newer than ``since``, or is no longer stored (more than
        ``history_versions`` behind).
        """
        manifest = self._manifests.get(up_to)
        if manifest is None or since >= up_to:
            return None
        if since < self._slices.dropped_removal:
            since = BundleVersion(0)
        changed: dict[SliceName, bytes] = {}
        removed: list[SliceName] = []
        for name in self._names_changed(since, up_to):
            version, data = self._slices.content_at(name, up_to)
            if data is not None:
                changed[name] = data
            elif since and version > since:
                removed.append(name)
        return BundleDelta(since=since, manifest=manifest, changed=changed, removed=tuple(removed))

    def _names_changed(self, since: BundleVersion, up_to: BundleVersion) -> Sequence[SliceName]:
        """Returns the sorted names of slices that changed after ``since`` and up to ``up_to``."""
        entries = range(since + 1, up_to + 1)
        if since and len(entries) <= MAX_WALKED_VERSIONS and BundleVersion(since + 1) in self._history:
            names = {name for version in entries for name in self._names_changed_in(BundleVersion(version))}
            return sorted(name for name in names if name in self._slices.past)
        return self._slices.changed_between(since, up_to)

    def _names_changed_in(self, version: BundleVersion) -> tuple[SliceName, ...]:
        """Returns the names of the slices that this version changed or removed."""
        entry = self._history[version]
        return (*entry.changed, *entry.removed)

    def slices_at(self, version: BundleVersion) -> dict[SliceName, bytes] | None:
        """Returns all slices of a version, sorted by name; None when the version is not stored."""
        if version == 0:
            return {}
        if version not in self._manifests:
            return None
        if version == self._version:
            return self._slices.latest()
        return self._slices.at(version)

    def history(self, up_to: BundleVersion, limit: int = 50) -> list[HistoryEntry]:
        """Returns the history entries of at most ``limit`` versions from ``up_to`` backwards, the latest first."""
        versions = range(up_to, max(0, up_to - limit), -1)
        entries = (self._history.get(BundleVersion(version)) for version in versions)
        return [
            HistoryEntry(
                version=entry.version,
                order=entry.order,
                signer=entry.signer,
                signed_at=entry.signed_at,
                changed=entry.changed,
                removed=entry.removed,
            )
            for entry in entries
            if entry is not None
        ]

    def outcome(self, order: OrderId) -> OrderOutcome | None:
        """Returns the outcome of an order, which may not be durable yet; None when it is not stored."""
        decided = self._decided.get(order)
        return None if decided is None else decided.as_outcome()

    # snapshots

    def snapshot(self) -> bytes:
        """Returns the complete state as an encoded ``StateSnapshot``."""
        signers: dict[str, int] = {}
        names: dict[SliceName, int] = {}
        decided = [
            (
                entry.order,
                entry.fingerprint,
                OUTCOMES.index(entry.outcome),
                entry.version,
                entry.reason,
                signers.setdefault(entry.signer, len(signers)),
                entry.signed_at,
                [names.setdefault(name, len(names)) for name in entry.changed],
                [names.setdefault(name, len(names)) for name in entry.removed],
            )
            for entry in self._decided_in_sequence
        ]
        return msgspec.msgpack.encode(
            StateSnapshot(
                self._version,
                [self._manifests[version] for version in sorted(self._manifests)],
                self._slices.past,
                self._slices.dropped_removal,
                list(signers),
                list(names),
                decided,
            )
        )

    def restore(self, snapshot: bytes | None) -> None:
        """Replaces the state by that of a snapshot; None stands for the empty state."""
        self._clear()
        if snapshot is not None:
            self._load(msgspec.msgpack.decode(snapshot, type=StateSnapshot))

    def _clear(self) -> None:
        self._version = BundleVersion(0)
        self._parsed = None
        self._candidate = None
        self._manifests = {}
        self._slices = SliceHistory()
        self._decided = {}
        self._decided_in_sequence = deque()
        self._history = {}
        self._interned_signers = {}
        self._interned_names = {}

    def _load(self, snapshot: StateSnapshot) -> None:
        self._version = snapshot.version
        self._slices = SliceHistory(snapshot.past, snapshot.dropped_removal)
        self._interned_signers = {signer: signer for signer in snapshot.signers}
        self._interned_names = {name: name for name in snapshot.names}
        for order, order_fingerprint, outcome, version, reason, signer, signed_at, changed, removed in snapshot.decided:
            self._add_decided(
                DecidedOrder(
                    order,
                    order_fingerprint,
                    OUTCOMES[outcome],
                    version,
                    reason,
                    snapshot.signers[signer],
                    signed_at,
                    tuple(snapshot.names[index] for index in changed),
                    tuple(snapshot.names[index] for index in removed),
                )
            )
        oldest = self._version - self._history_versions
        self._manifests = {manifest.version: manifest for manifest in snapshot.manifests if manifest.version >= oldest}
        self._drop_old_versions()
