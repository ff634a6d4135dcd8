"""The replicated bundle state: orders, their outcomes and the history (docs/DESIGN.md section 5.4).

``BundleState`` is control's ``Applier`` of kind ``bundle``. What it holds is decided, but on the
primary not always durable yet. Whoever shows or distributes from it therefore names the newest
version that *is* durable: ``manifest_at``, ``delta_since`` and ``slices_at`` answer as of that
version, whatever has been decided since. They can do so for the last ``history_versions`` versions.
A reply without a record (a resent order) rests on earlier records, so it must not leave before
every record decided earlier is durable.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable, Collection, Sequence
from typing import Literal

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Success

from ..control.protocols import BundleCommand, FindEdition, SubmitEdition, SubmitOrder
from ..identifiers import BundleVersion, OrderId, SliceName, WallTime
from .editions import EDITION_SLICE, edition_fingerprint, number_in, signed_steps
from .gradual import Steps, at_once, gradually_while
from .model import Bundle, BundleDelta, EditionChange, EditionStanding, Manifest, Order, OrderOutcome
from .orders import difference, fingerprint
from .parse import BUNDLE_BYTES, Checked, change_bundle, empty_bundle, parse_bundle, parse_steps
from .problem import BundleProblem
from .signing import public_hex, verify_manifest

_ORDER_ID = re.compile(r"[!-~]{1,64}")
SCAN_ABOVE = 1_000
"""A holder further behind than this is served by a look at every slice, not by the history."""

PREPARED_ORDERS = 4
"""Each may hold all slices of a bundle."""

Decided = Literal["accepted", "conflict", "invalid"]


class AcceptedRecord(msgspec.Struct, frozen=True, tag="accepted", array_like=True):
    """Journal record: the version and only what really differs from its base."""

    manifest: Manifest
    changed: dict[SliceName, bytes]
    removed: tuple[SliceName, ...]
    fingerprint: bytes


class RefusedRecord(msgspec.Struct, frozen=True, tag="refused", array_like=True):
    """Journal record: an order that its operator really signed, and why it was refused."""

    outcome: OrderOutcome
    fingerprint: bytes
    signer: str
    signed_at: WallTime


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One version as operators read it."""

    version: BundleVersion
    order: OrderId
    signer: str
    signed_at: WallTime
    changed: tuple[SliceName, ...]
    removed: tuple[SliceName, ...]


class _Prepared(msgspec.Struct, frozen=True):
    """An edition that was checked, and signed if it is valid, before its turn to be decided."""

    held: Bundle
    """On which it builds."""
    checked: Checked


class _Remembered(msgspec.Struct, array_like=True, gc=False):
    """An order's first outcome; for an accepted one also its line of the history."""

    order: OrderId
    fingerprint: bytes
    outcome: Decided
    version: BundleVersion
    reason: str
    signer: str
    signed_at: WallTime
    changed: tuple[SliceName, ...] = ()
    removed: tuple[SliceName, ...] = ()


class _Snapshot(msgspec.Struct, array_like=True):
    version: BundleVersion
    manifests: list[Manifest]
    past: dict[SliceName, list[tuple[BundleVersion, bytes | None]]]
    forgotten_removal: BundleVersion
    signers: list[str]
    names: list[SliceName]
    remembered: list[tuple[OrderId, bytes, int, BundleVersion, str, int, WallTime, list[int], list[int]]]


_OUTCOMES: tuple[Decided, ...] = ("accepted", "conflict", "invalid")
_record_decoder = msgspec.msgpack.Decoder(AcceptedRecord | RefusedRecord)


class BundleState:
    """Decides orders by compare-and-set on the base version and gives each the same outcome for ever after.

    ``operator_keys``: hex Ed25519 keys whose orders count. ``outcome_retention``: orders remembered.
    ``history_versions``: past versions whose slices and manifests are kept. ``bundle_bytes``: largest bundle.
    ``signing_key``: seed of the Ed25519 key with which editions are signed (None: none are taken; its public key
    counts as an operator's); ``wall`` tells when, for people.
    """

    kind = "bundle"
    command_type = BundleCommand

    _version: BundleVersion
    _parsed: Bundle | None
    """The newest bundle, when it was decided here or has been read since."""
    _candidate: Bundle | None
    """The bundle of the record that ``decide`` returned last, until it is applied."""
    _prepared: dict[bytes, _Prepared]
    """By fingerprint; the oldest first."""
    _manifests: dict[BundleVersion, Manifest]
    _past: dict[SliceName, list[tuple[BundleVersion, bytes | None]]]
    """Each slice's contents by the version that brought them, oldest first; None: removed."""
    _forgotten_removal: BundleVersion
    """The newest removal of which no trace is kept in ``_past``."""
    _changed_in: deque[tuple[BundleVersion, tuple[SliceName, ...]]]
    _remembered: dict[OrderId, _Remembered]
    _remembered_order: deque[_Remembered]
    _history: dict[BundleVersion, _Remembered]
    _signers: dict[str, str]
    _names: dict[SliceName, SliceName]

    def __init__(
        self,
        operator_keys: Collection[str],
        outcome_retention: int = 100_000,
        history_versions: int = 200,
        bundle_bytes: int = BUNDLE_BYTES,
        signing_key: bytes | None = None,
        wall: Callable[[], WallTime] = lambda: WallTime(0.0),
    ) -> None:
        self._signing_key = None if signing_key is None else Ed25519PrivateKey.from_private_bytes(signing_key)
        own = () if self._signing_key is None else (public_hex(self._signing_key),)
        self._operator_keys = frozenset([*operator_keys, *own])
        self._wall = wall
        self._preparing = asyncio.Lock()
        """One order at a time, so that those that come together cost no more memory and time than one."""
        self._outcome_retention = outcome_retention
        self._history_versions = history_versions
        self._bundle_bytes = bundle_bytes
        self.restore(None)

    @property
    def version(self) -> BundleVersion:
        """Newest decided version; not always durable yet."""
        return self._version

    # deciding

    def decide(self, command: msgspec.Struct) -> tuple[bytes | None, msgspec.Struct]:
        """Orders to ``OrderOutcome``; no record when the order is not authentic or was decided before."""
        match command:
            case SubmitOrder(order):
                return self._decide_order(order)
            case SubmitEdition(change):
                return self._decide_edition(change)
            case FindEdition(wanted):
                return None, self._standing(wanted)
        raise TypeError(f"bundle state got {type(command).__name__}")

    def _decide_order(self, order: Order) -> tuple[bytes | None, OrderOutcome]:
        manifest = order.manifest
        mark = fingerprint(manifest)
        known = self._remembered.get(manifest.order)
        if known is not None and known.fingerprint == mark:
            return None, _outcome_of(known)
        refusal = self._refuse_unsigned(order, known)
        if refusal is not None:
            return None, self._refused(manifest, "invalid", refusal)
        if manifest.base != self._version:
            return self._record_refusal(manifest, mark, "conflict", self._conflict(manifest))
        held = self._parsed_bundle()
        removed: Collection[SliceName] = order.removed
        if order.whole:
            removed = [name for name in held.slices if name not in order.changed]
        match change_bundle(held, manifest, order.changed, removed):
            case Success(bundle):
                size = sum(map(len, bundle.slices.values()))
                if size > self._bundle_bytes:
                    reason = f"the bundle has {size} bytes: keep it to {self._bundle_bytes} (bundle_bytes in settings)"
                    return self._record_refusal(manifest, mark, "invalid", reason)
                if (bundle.edition.number if bundle.edition is not None else 0) < self._edition_number():
                    reason = f"{EDITION_SLICE}: the operator's number is {self._edition_number()} and never goes back"
                    return self._record_refusal(manifest, mark, "invalid", reason)
                outcome = OrderOutcome(order=manifest.order, outcome="accepted", version=manifest.version)
                return self._record_acceptance(held, bundle, mark), outcome
            case Failure(BundleProblem() as problem):
                if problem.code == "root":
                    # The slices are not those that were signed, so nothing authentic is refused.
                    return None, self._refused(manifest, "invalid", str(problem))
                return self._record_refusal(manifest, mark, "invalid", str(problem))
        raise AssertionError("a result is a success or a failure")

    def _record_acceptance(self, held: Bundle, bundle: Bundle, mark: bytes) -> bytes:
        changed, gone = difference(held.slices, bundle.slices)
        self._candidate = bundle
        return msgspec.msgpack.encode(AcceptedRecord(bundle.manifest, changed, gone, mark))

    # deciding on the operator's own numbers

    def _edition_number(self) -> int:
        past = self._past.get(EDITION_SLICE)
        return 0 if not past else number_in(past[-1][1])

    def _standing(self, order: OrderId) -> EditionStanding:
        known = self._remembered.get(order)
        accepted = known is not None and known.outcome == "accepted"
        return EditionStanding(
            number=self._edition_number(),
            version=self._version,
            outcome=_outcome_of(known) if known is not None and accepted else None,
        )

    def _decide_edition(self, change: EditionChange) -> tuple[bytes | None, OrderOutcome]:
        """Only what is accepted is recorded: a refusal says how things stand, and the same order may come again."""
        mark = edition_fingerprint(change)
        known = self._remembered.get(change.order)
        if known is not None and known.fingerprint == mark:
            return None, msgspec.structs.replace(_outcome_of(known), edition=change.number)
        current = self._edition_number()
        if known is None and change.base != current:
            reason = f"base is {change.base}, but edition {current} is the newest: read it and build on it"
            return None, self._edition_refused(change, "conflict", reason)
        refusal = self._refuse_ill_formed(change, known, current)
        if refusal is not None:
            return None, self._edition_refused(change, "invalid", refusal)
        held = self._parsed_bundle()
        prepared = self._prepared.get(mark)
        if prepared is not None and prepared.held is held:
            checked = prepared.checked
        else:
            checked = at_once(self._edition_steps(held, change))
        match checked:
            case Success(bundle):
                pass
            case Failure(problem):
                return None, self._edition_refused(change, "invalid", str(problem))
        size = sum(map(len, bundle.slices.values()))
        if size > self._bundle_bytes:
            reason = f"the bundle has {size} bytes: keep it to {self._bundle_bytes} (bundle_bytes in settings)"
            return None, self._edition_refused(change, "invalid", reason)
        outcome = OrderOutcome(order=change.order, outcome="accepted", version=bundle.version, edition=change.number)
        return self._record_acceptance(held, bundle, mark), outcome

    def _edition_steps(self, held: Bundle, change: EditionChange) -> Steps[Checked]:
        assert self._signing_key is not None, "an order without a key to sign it is refused"
        return signed_steps(held, change, self._signing_key, self._wall)

    async def prepare(self, command: msgspec.Struct) -> None:
        """Checks and signs a large order beforehand, step by step, so that ``decide`` holds up nothing for long.

        What was prepared counts only for the version that was newest meanwhile.
        """
        if not isinstance(command, SubmitEdition):
            return
        change, mark = command.change, edition_fingerprint(command.change)
        async with self._preparing:
            current = self._edition_number()
            if mark in self._prepared or change.base != current or change.order in self._remembered:
                return
            if self._refuse_ill_formed(change, None, current) is not None:
                return
            held = await self._parsed_gradually()
            if held is None:
                return
            checked = await gradually_while(lambda: self._parsed is held, self._edition_steps(held, change))
            if checked is not None and self._parsed is held:
                while len(self._prepared) >= PREPARED_ORDERS:
                    del self._prepared[next(iter(self._prepared))]
                self._prepared[mark] = _Prepared(held, checked)

    async def _parsed_gradually(self) -> Bundle | None:
        """As ``_parsed_bundle``; None when another version came meanwhile."""
        if self._parsed is None and self._version > 0:
            manifest = self._manifests[self._version]
            steps = parse_steps(manifest, self._slices())
            parsed = await gradually_while(lambda: self._manifests.get(self._version) is manifest, steps)
            if parsed is None or self._manifests.get(self._version) is not manifest:
                return None
            self._parsed = parsed.unwrap()
        return self._parsed_bundle()

    def _refuse_ill_formed(self, change: EditionChange, known: _Remembered | None, current: int) -> str | None:
        if self._signing_key is None:
            return "this fleet takes signed orders only: control has no signing_key in its settings"
        if known is not None:
            return f"order {change.order} was used before with other content; make a new order id"
        if not _ORDER_ID.fullmatch(change.order):
            return f"order is {change.order[:80]!r}: 1 to 64 letters without spaces"
        if change.number <= current:
            return f"number is {change.number}: it must be above {current}, the newest edition"
        size = sum(len(data) for data in change.changed.values())
        if size > self._bundle_bytes:
            return f"the order has {size} bytes: keep it to {self._bundle_bytes} (bundle_bytes in settings)"
        return None

    def _edition_refused(self, change: EditionChange, outcome: Decided, reason: str) -> OrderOutcome:
        return OrderOutcome(
            order=change.order,
            outcome=outcome,
            version=self._version,
            reason=reason,
            edition=self._edition_number(),
        )

    # deciding on signed orders

    def _refuse_unsigned(self, order: Order, known: _Remembered | None) -> str | None:
        manifest = order.manifest
        reason = verify_manifest(manifest, self._operator_keys)
        if reason is not None:
            return f"{reason}; sign with an operator's key"
        if known is not None:
            return f"order {manifest.order} was used before with other content; make a new order id"
        if not _ORDER_ID.fullmatch(manifest.order):
            return f"order is {manifest.order[:80]!r}: 1 to 64 letters without spaces"
        if manifest.base != manifest.version - 1 or manifest.base < 0:
            return f"base is {manifest.base} and version {manifest.version}: the version follows its base"
        size = sum(len(data) for data in order.changed.values())
        if size > self._bundle_bytes:
            return f"the order has {size} bytes: keep it to {self._bundle_bytes} (bundle_bytes in settings)"
        return None

    def _conflict(self, manifest: Manifest) -> str:
        if manifest.base > self._version:
            return f"base is {manifest.base}, but version {self._version} is the newest: read it and build on it"
        winner = self._history.get(BundleVersion(manifest.base + 1))
        by = f", made by order {winner.order} of signer {winner.signer[:16]}" if winner is not None else ""
        return f"version {manifest.version} is taken{by}; the newest is {self._version}: read it and build on it"

    def _refused(self, manifest: Manifest, outcome: Decided, reason: str) -> OrderOutcome:
        return OrderOutcome(order=manifest.order, outcome=outcome, version=self._version, reason=reason)

    def _record_refusal(
        self, manifest: Manifest, mark: bytes, decided: Decided, reason: str
    ) -> tuple[bytes, OrderOutcome]:
        outcome = self._refused(manifest, decided, reason)
        record = RefusedRecord(outcome, mark, manifest.signer, manifest.signed_at)
        return msgspec.msgpack.encode(record), outcome

    def _parsed_bundle(self) -> Bundle:
        """The newest bundle, read from its slices when records came without being decided here."""
        bundle = self._parsed
        if bundle is None:
            bundle = empty_bundle()
            if self._version > 0:
                bundle = parse_bundle(self._manifests[self._version], self._slices()).unwrap()
            self._parsed = bundle
        return bundle

    # applying

    def apply(self, record: bytes) -> None:
        decoded = _record_decoder.decode(record)
        if isinstance(decoded, RefusedRecord):
            outcome = decoded.outcome
            self._remember(
                _Remembered(
                    outcome.order,
                    decoded.fingerprint,
                    "conflict" if outcome.outcome == "conflict" else "invalid",
                    outcome.version,
                    outcome.reason,
                    decoded.signer,
                    decoded.signed_at,
                )
            )
            return
        manifest = decoded.manifest
        if manifest.version != self._version + 1:
            raise RuntimeError(f"record of version {manifest.version} after version {self._version}")
        candidate, self._candidate = self._candidate, None
        self._prepared.clear()
        self._parsed = candidate if candidate is not None and candidate.manifest == manifest else None
        self._version = manifest.version
        self._manifests[manifest.version] = manifest
        for name, data in decoded.changed.items():
            self._past.setdefault(name, []).append((manifest.version, data))
        for name in decoded.removed:
            self._past.setdefault(name, []).append((manifest.version, None))
        self._remember(
            _Remembered(
                manifest.order,
                decoded.fingerprint,
                "accepted",
                manifest.version,
                "",
                self._signers.setdefault(manifest.signer, manifest.signer),
                manifest.signed_at,
                tuple(self._shared_name(name) for name in decoded.changed),
                tuple(self._shared_name(name) for name in decoded.removed),
            )
        )
        self._changed_in.append((self._version, self._touched(self._version)))
        self._forget_past()

    def _shared_name(self, name: SliceName) -> SliceName:
        return self._names.setdefault(name, name)

    def _remember(self, entry: _Remembered) -> None:
        self._remembered[entry.order] = entry
        if entry.outcome == "accepted":
            self._history[entry.version] = entry
        self._remembered_order.append(entry)
        while len(self._remembered_order) > self._outcome_retention:
            oldest = self._remembered_order.popleft()
            self._remembered.pop(oldest.order, None)
            if oldest.outcome == "accepted":
                self._history.pop(oldest.version, None)

    def _forget_past(self) -> None:
        """Drops the manifest and the slices' contents that only versions before the kept ones had."""
        oldest = BundleVersion(self._version - self._history_versions)
        self._manifests.pop(BundleVersion(oldest - 1), None)
        while self._changed_in and self._changed_in[0][0] <= oldest:
            _, names = self._changed_in.popleft()
            for name in names:
                past = self._past.get(name)
                if past is None:
                    continue
                keep = max((index for index, (version, _) in enumerate(past) if version <= oldest), default=0)
                del past[:keep]
                version, data = past[0]
                if data is None and version <= oldest:
                    self._forgotten_removal = max(self._forgotten_removal, version)
                    del past[0]
                    if not past:
                        del self._past[name]

    def _touched(self, version: BundleVersion) -> tuple[SliceName, ...]:
        entry = self._history[version]
        return (*entry.changed, *entry.removed)

    # reading, as of a version that the caller knows to be durable

    def manifest_at(self, version: BundleVersion) -> Manifest | None:
        """None when the version is not (or no longer) kept, and for 0."""
        return self._manifests.get(version)

    def delta_since(self, since: BundleVersion, upto: BundleVersion) -> BundleDelta | None:
        """What takes a holder of ``since`` straight to ``upto``, intermediates skipped.

        ``upto`` is the newest durable version; what was decided after it does not show. ``since`` of
        the delta is 0 when the holder has nothing, or is so far behind that removals it has not
        seen are forgotten: the delta then is everything. None when there is nothing newer than
        ``since``, or ``upto`` is no longer kept (more than ``history_versions`` behind).
        """
        manifest = self._manifests.get(upto)
        if manifest is None or since >= upto:
            return None
        if since < self._forgotten_removal:
            since = BundleVersion(0)
        changed: dict[SliceName, bytes] = {}
        removed: list[SliceName] = []
        for name in self._names_changed(since, upto):
            version, data = self._content_at(name, upto)
            if data is not None:
                changed[name] = data
            elif since and version > since:
                removed.append(name)
        return BundleDelta(since=since, manifest=manifest, changed=changed, removed=tuple(removed))

    def _names_changed(self, since: BundleVersion, upto: BundleVersion) -> Sequence[SliceName]:
        entries = range(since + 1, upto + 1)
        if since and len(entries) <= SCAN_ABOVE and BundleVersion(since + 1) in self._history:
            names = {name for version in entries for name in self._touched(BundleVersion(version))}
            return sorted(name for name in names if name in self._past)
        return sorted(name for name in self._past if self._content_at(name, upto)[0] > since)

    def _content_at(self, name: SliceName, version: BundleVersion) -> tuple[BundleVersion, bytes | None]:
        """When the slice last changed up to ``version``, and its bytes then; (0, None) before it was."""
        return next((entry for entry in reversed(self._past[name]) if entry[0] <= version), (BundleVersion(0), None))

    def _slices(self) -> dict[SliceName, bytes]:
        newest = {name: self._past[name][-1][1] for name in sorted(self._past)}
        return {name: data for name, data in newest.items() if data is not None}

    def slices_at(self, version: BundleVersion) -> dict[SliceName, bytes] | None:
        """All slices of a version that is still kept, by sorted name; None otherwise."""
        if version == 0:
            return {}
        if version not in self._manifests:
            return None
        if version == self._version:
            return self._slices()
        found = ((name, self._content_at(name, version)[1]) for name in sorted(self._past))
        return {name: data for name, data in found if data is not None}

    def history(self, upto: BundleVersion, most: int = 50) -> list[HistoryEntry]:
        """Newest first, from ``upto`` back."""
        versions = range(upto, max(0, upto - most), -1)
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
        """What was decided of an order; not always durable yet."""
        known = self._remembered.get(order)
        return None if known is None else _outcome_of(known)

    # whole state

    def snapshot(self) -> bytes:
        signers: dict[str, int] = {}
        names: dict[SliceName, int] = {}
        remembered = [
            (
                entry.order,
                entry.fingerprint,
                _OUTCOMES.index(entry.outcome),
                entry.version,
                entry.reason,
                signers.setdefault(entry.signer, len(signers)),
                entry.signed_at,
                [names.setdefault(name, len(names)) for name in entry.changed],
                [names.setdefault(name, len(names)) for name in entry.removed],
            )
            for entry in self._remembered_order
        ]
        return msgspec.msgpack.encode(
            _Snapshot(
                self._version,
                [self._manifests[version] for version in sorted(self._manifests)],
                self._past,
                self._forgotten_removal,
                list(signers),
                list(names),
                remembered,
            )
        )

    def restore(self, snapshot: bytes | None) -> None:
        self._version = BundleVersion(0)
        self._parsed = None
        self._candidate = None
        self._prepared = {}
        self._manifests = {}
        self._past = {}
        self._forgotten_removal = BundleVersion(0)
        self._changed_in = deque()
        self._remembered = {}
        self._remembered_order = deque()
        self._history = {}
        self._signers = {}
        self._names = {}
        if snapshot is None:
            return
        read = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        self._version = read.version
        self._manifests = {manifest.version: manifest for manifest in read.manifests}
        self._past = read.past
        self._forgotten_removal = read.forgotten_removal
        self._signers = {signer: signer for signer in read.signers}
        self._names = {name: name for name in read.names}
        for order, mark, outcome, version, reason, signer, signed_at, changed, removed in read.remembered:
            self._remember(
                _Remembered(
                    order,
                    mark,
                    _OUTCOMES[outcome],
                    version,
                    reason,
                    read.signers[signer],
                    signed_at,
                    tuple(read.names[index] for index in changed),
                    tuple(read.names[index] for index in removed),
                )
            )
        oldest = self._version - self._history_versions
        self._manifests = {version: kept for version, kept in self._manifests.items() if version >= oldest}
        changes: dict[BundleVersion, list[SliceName]] = {}
        for name, past in sorted(self._past.items()):
            for version, _ in past:
                changes.setdefault(version, []).append(name)
        self._changed_in.extend((version, tuple(changes[version])) for version in sorted(changes))
        self._forget_past()


def _outcome_of(known: _Remembered) -> OrderOutcome:
    return OrderOutcome(order=known.order, outcome=known.outcome, version=known.version, reason=known.reason)
