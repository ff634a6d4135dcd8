"""Operators of a run (docs/DESIGN.md section 16).

They sign orders, race each other, lose answers and resend orders to any daemon."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Success

from wingwood.bundle.canonical import canonical_json
from wingwood.bundle.model import Order, OrderOutcome
from wingwood.bundle.orders import make_order
from wingwood.context.protocols import Context, HttpRequest
from wingwood.identifiers import Address, BundleVersion, OrderId, Seconds, SliceName, WallTime

from .history import History, HistoryEntry, ObservedLatest, ObservedOrder, OrderAnswer, PaidShare
from .http_client import PlainExchange

Slices = dict[SliceName, bytes]
Change = Callable[[Slices], Slices]

ORDERS_PATH = "/control/v1/orders"
BUNDLE_PATH = "/control/v1/bundle"
HISTORY_PATH = "/control/v1/history"
HEALTH_PATH = "/control/v1/health"


class OperatorEndpoint(msgspec.Struct, frozen=True):
    """The name of a daemon and the address of its operator API."""

    name: str
    address: Address


async def ask(context: Context, method: str, address: Address, path: str, body: bytes, within: float) -> Any:
    """Sends a request and returns status and body of its answer, or None when no complete one arrived in time."""
    exchange = PlainExchange(context.network, HttpRequest(method, address, path, (), body, Seconds(within)))
    try:
        async with asyncio.timeout(within):
            head_result = await exchange.head()
            if not isinstance(head_result, Success):
                return None
            read = b""
            while True:
                received = await exchange.next_chunk()
                if not isinstance(received, Success):
                    return None
                chunk = received.unwrap()
                if chunk is None:
                    return head_result.unwrap().status, read
                read += chunk
    except TimeoutError:
        return None
    finally:
        exchange.cancel()


class Operator:
    """One operator, in a process of its own; it records all its orders and answers in the history."""

    def __init__(
        self,
        context: Context,
        name: str,
        key: Ed25519PrivateKey,
        history: History,
        now: Callable[[], float],
        operator_endpoints: Callable[[], Sequence[OperatorEndpoint]],
    ) -> None:
        self.context = context
        self.name = name
        self.key = key
        self.history = history
        self.now = now
        self.operator_endpoints = operator_endpoints
        self._number = 0

    # -- reading

    async def latest(self, within: float = 10.0) -> tuple[BundleVersion, Slices]:
        """Returns the latest bundle version and its slices; version 0 when there is none yet.

        Raises TimeoutError when no daemon shows the latest bundle within ``within`` seconds.
        """
        until = self.now() + within
        while True:
            endpoint = self.context.random.choice(self.operator_endpoints())
            asked_at = self.now()
            answer = await ask(self.context, "GET", endpoint.address, f"{BUNDLE_PATH}?newest=1", b"", 3.0)
            if answer is not None and answer[0] == 200:
                bundle_answer = msgspec.json.decode(answer[1], type=_BundleAnswer)
                self.history.latest_reads.append(ObservedLatest(asked_at, endpoint.name, bundle_answer.version))
                return bundle_answer.version, {name: bytes(raw) for name, raw in bundle_answer.slices.items()}
            if answer is not None and answer[0] == 404:
                self.history.latest_reads.append(ObservedLatest(asked_at, endpoint.name, 0))
                if self.history.orders == []:
                    return BundleVersion(0), {}
            if self.now() > until:
                raise TimeoutError("no daemon shows the newest bundle")
            await asyncio.sleep(0.2)

    async def version_at(self, endpoint: OperatorEndpoint, within: float = 1.0) -> int | None:
        """Returns the version in force at one daemon: 0 without a bundle, None when it does not answer."""
        answer = await ask(self.context, "GET", endpoint.address, HEALTH_PATH, b"", within)
        if answer is None or answer[0] != 200:
            return None
        return int(msgspec.json.decode(answer[1])["version"])

    async def health_at(self, endpoint: OperatorEndpoint, within: float = 1.0) -> dict[str, Any] | None:
        """Returns the health report of one daemon; None when it does not answer."""
        answer = await ask(self.context, "GET", endpoint.address, HEALTH_PATH, b"", within)
        return msgspec.json.decode(answer[1]) if answer is not None and answer[0] == 200 else None

    async def read_history(self, endpoint: OperatorEndpoint, most: int = 1000) -> list[HistoryEntry] | None:
        """Returns the latest versions of the bundle history at one daemon; None when it does not answer."""
        answer = await ask(self.context, "GET", endpoint.address, f"{HISTORY_PATH}?most={most}", b"", 5.0)
        if answer is None or answer[0] != 200:
            return None
        entries = msgspec.json.decode(answer[1])
        listed = entries if isinstance(entries, list) else entries.get("entries", entries.get("versions", []))
        return [_history_entry(entry) for entry in listed]

    # -- orders

    async def push(
        self,
        change: Change,
        what: str,
        *,
        via: str | None = None,
        lose_answers: int = 0,
        tries: int = 40,
        removed_keys: tuple[str, ...] = (),
        added_keys: tuple[str, ...] = (),
        on_conflict_again: bool = False,
    ) -> ObservedOrder:
        """Reads the latest bundle, signs a changed one and sends the order until it gets a definite answer."""
        while True:
            base, before = await self.latest()
            seen, order = self.prepare(base, before, change(dict(before)), what, removed_keys, added_keys)
            await self.send(seen, order, via=via, lose_answers=lose_answers, tries=tries)
            if not on_conflict_again or not seen.answers or seen.answers[-1].outcome != "conflict":
                return seen

    def prepare(
        self,
        base: BundleVersion,
        before: Slices,
        after: Slices,
        what: str,
        removed_keys: tuple[str, ...] = (),
        added_keys: tuple[str, ...] = (),
    ) -> tuple[ObservedOrder, Order]:
        """Signs an order for a change and records it in the history without sending it."""
        self._number += 1
        identifier = f"{self.name}-{self._number}-{self.context.random.getrandbits(32):08x}"
        order = make_order(base, before, after, self.key, OrderId(identifier), WallTime(self.context.clock.wall()))
        seen = ObservedOrder(
            order=identifier,
            operator=self.name,
            base=base,
            what=what,
            removed_keys=removed_keys,
            added_keys=added_keys,
            paid_shares=_changed_shares(before, after),
        )
        self.history.orders.append(seen)
        return seen, order

    async def send(
        self, seen: ObservedOrder, order: Order, *, via: str | None = None, lose_answers: int = 0, tries: int = 40
    ) -> None:
        """Sends an order, to any daemon unless ``via`` names one, until it is accepted or definitely refused."""
        body = msgspec.json.encode(order)
        for _ in range(tries):
            operator_endpoints = [endpoint for endpoint in self.operator_endpoints() if via in (None, endpoint.name)]
            if not operator_endpoints:
                return
            endpoint = self.context.random.choice(operator_endpoints)
            asked_at = self.now()
            answer = await ask(self.context, "POST", endpoint.address, ORDERS_PATH, body, 6.5)
            if answer is not None and lose_answers > 0:
                lose_answers -= 1
                answer = None
            outcome = self._outcome(answer)
            seen.answers.append(
                OrderAnswer(
                    asked_at=asked_at,
                    answered_at=self.now(),
                    via=endpoint.name,
                    outcome=outcome.outcome if outcome is not None else "lost",
                    version=outcome.version if outcome is not None else 0,
                    reason=outcome.reason if outcome is not None else "",
                )
            )
            if outcome is not None and outcome.outcome != "unknown":
                self.context.log.event(
                    "order-answered",
                    order=seen.order,
                    what=seen.what,
                    outcome=outcome.outcome,
                    version=outcome.version,
                    via=endpoint.name,
                    reason=outcome.reason[:120],
                )
                return
            await asyncio.sleep(self.context.random.uniform(0.1, 0.4))
        self.context.log.event("order-given-up", order=seen.order, what=seen.what)

    def _outcome(self, answer: Any) -> OrderOutcome | None:
        if answer is None:
            return None
        status, body = answer
        try:
            return msgspec.json.decode(body, type=OrderOutcome)
        except msgspec.MsgspecError:
            if status in (400, 413, 422):
                return OrderOutcome(
                    order=OrderId(""), outcome="invalid", version=BundleVersion(0), reason=body[:200].decode("latin-1")
                )
            return None


def _changed_shares(before: Slices, after: Slices) -> dict[str, PaidShare]:
    """Returns the new paid shares of the tenants whose slices differ."""
    found = {}
    for name, data in after.items():
        if name.startswith("tenant/") and before.get(name) != data:
            try:
                found[name.removeprefix("tenant/")] = msgspec.json.decode(data, type=PaidShare)
            except msgspec.MsgspecError:
                continue
    return found


class _BundleAnswer(msgspec.Struct):
    """A daemon's answer to a request for the latest bundle."""

    version: BundleVersion
    slices: dict[SliceName, msgspec.Raw]


def _history_entry(entry: Any) -> HistoryEntry:
    manifest = entry.get("manifest", entry)
    return HistoryEntry(int(manifest["version"]), str(manifest["order"]))


def digest_of_key(key: str) -> str:
    """Returns the SHA-256 digest by which the bundle lists a caller's key."""
    return hashlib.sha256(key.encode()).hexdigest()


def set_field(path: str, value: object) -> Change:
    """Returns a change that sets one field of a slice; ``path`` is such as ``tenant/x.paid_rate``."""
    name, _, field = path.rpartition(".")

    def change(slices: Slices) -> Slices:
        read = msgspec.json.decode(slices[SliceName(name)])
        read[field] = value
        return {**slices, SliceName(name): canonical_json(read)}

    return change


def put_slice(name: str, value: dict[str, object]) -> Change:
    """Returns a change that adds or replaces a slice."""
    return lambda slices: {**slices, SliceName(name): canonical_json(value)}
