"""The types, commands, log events and metrics whose names leave a process, and what they look like from outside."""

from __future__ import annotations

import ast
import importlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec
from msgspec import inspect

from wingwood.command_line.main import main
from wingwood.transport.messenger import wire_name

ROOT = Path(__file__).resolve().parents[2]
SHIPPED = ("wingwood", "platform", "emulator")

MESSAGES: dict[str, str] = {
    # outer name: the module and class that carry it
    "Seat": "wingwood.control.views:ViewMember",
    "View": "wingwood.control.views:View",
    "Promise": "wingwood.control.views:PreparedEpoch",
    "ControlCanvass": "wingwood.control.messages:ControlStatusQuery",
    "ControlStanding": "wingwood.control.messages:ControlStatus",
    "ControlPromise": "wingwood.control.messages:ControlPrepare",
    "ControlGrant": "wingwood.control.messages:ControlPrepared",
    "ControlAccept": "wingwood.control.messages:ControlAccept",
    "ControlAccepted": "wingwood.control.messages:ControlAccepted",
    "ControlHeartbeat": "wingwood.control.messages:ControlHeartbeat",
    "ControlHeartbeatAnswer": "wingwood.control.messages:ControlHeartbeatAnswer",
    "ControlReplicate": "wingwood.control.messages:ControlReplicate",
    "ControlReplicated": "wingwood.control.messages:ControlReplicated",
    "ControlCommitted": "wingwood.control.messages:ControlCommitted",
    "ControlStatePiece": "wingwood.control.messages:ControlStateChunk",
    "ControlConfirm": "wingwood.control.messages:ControlConfirm",
    "ControlConfirmed": "wingwood.control.messages:ControlConfirmed",
    "ControlGiveWay": "wingwood.control.messages:ControlLeadershipReleased",
    "ControlJoin": "wingwood.control.messages:ControlJoin",
    "ControlJoined": "wingwood.control.messages:ControlJoined",
    "ControlCommand": "wingwood.control.messages:ControlCommand",
    "ControlDecision": "wingwood.control.messages:ControlDecision",
    "ControlWhoLeads": "wingwood.control.messages:ControlLeaderQuery",
    "ControlLeader": "wingwood.control.messages:ControlLeader",
    "BundlePosted": "wingwood.distribution.messages:BundlePosted",
    "BundleAnnounced": "wingwood.distribution.messages:BundleAnnounced",
    "Subscribe": "wingwood.distribution.messages:Subscribe",
    "Subscribed": "wingwood.distribution.messages:Subscribed",
    "FetchBundle": "wingwood.distribution.messages:FetchBundle",
    "BundleChunk": "wingwood.distribution.messages:BundleChunk",
    "AskNewest": "wingwood.distribution.messages:LatestVersionRequest",
    "NewestProven": "wingwood.distribution.messages:LatestVersionReply",
    "LeaseAsk": "wingwood.limits.messages:LeaseRequest",
    "KeeperView": "wingwood.limits.messages:AllocatorView",
    "LeaseGrant": "wingwood.limits.messages:LeaseGrant",
    "UseQuestion": "wingwood.limits.messages:UsageRequest",
    "UseAnswer": "wingwood.limits.messages:UsageReport",
    "AliveQuestion": "wingwood.limits.messages:ReachabilityRequest",
    "AliveAnswer": "wingwood.limits.messages:ReachabilityReply",
    "MemberQuestion": "wingwood.limits.messages:MembershipRequest",
    "MemberAnswer": "wingwood.limits.messages:MembershipReply",
    "Member": "wingwood.membership.messages:Member",
    "Position": "wingwood.membership.messages:Position",
    "News": "wingwood.membership.messages:ClusterUpdate",
    "Heartbeat": "wingwood.membership.messages:Heartbeat",
    "HeartbeatAnswer": "wingwood.membership.messages:HeartbeatAnswer",
    "CompareMembers": "wingwood.membership.messages:CompareMembers",
    "MembersCompared": "wingwood.membership.messages:MembersCompared",
    "AskKnownControls": "wingwood.membership.messages:KnownControlsRequest",
    "KnownControls": "wingwood.membership.messages:KnownControls",
    "EndSession": "wingwood.membership.messages:EndSession",
    "Unheard": "wingwood.membership.messages:UnreachableCoordinator",
    "AskSessions": "wingwood.membership.messages:SessionsRequest",
    "SessionsTold": "wingwood.membership.messages:SessionsReport",
    "SessionNote": "wingwood.placement.messages:SessionRecord",
    "KeepNotes": "wingwood.placement.messages:StoreSessionRecords",
    "LookUpSession": "wingwood.placement.messages:LookUpSession",
    "SessionFound": "wingwood.placement.messages:SessionFound",
    "QueueOffer": "wingwood.placement.messages:QueueOffer",
    "JoinQueue": "wingwood.placement.messages:JoinQueue",
    "QueueJoined": "wingwood.placement.messages:QueueJoined",
    "QueueEntry": "wingwood.placement.messages:QueueEntry",
    "WorkerEntry": "wingwood.registry.messages:WorkerEntry",
    "TakeState": "wingwood.registry.messages:WorkerStateReport",
    "StateTaken": "wingwood.registry.messages:WorkerStateReceipt",
    "Renewal": "wingwood.registry.messages:Renewal",
    "TakeRenewals": "wingwood.registry.messages:RenewalBatch",
    "RenewalsTaken": "wingwood.registry.messages:RenewalBatchReceipt",
    "AskWorker": "wingwood.registry.messages:WorkerQuery",
    "WorkerTold": "wingwood.registry.messages:WorkerQueryReply",
    "StateSeen": "wingwood.registry.messages:ObservedState",
    "PoolQuestion": "wingwood.registry.messages:PoolRequest",
    "FeedQuestion": "wingwood.registry.messages:FeedRequest",
    "PoolAnswer": "wingwood.registry.messages:PoolReply",
    "FeedAnswer": "wingwood.registry.messages:FeedReply",
    "FeedPush": "wingwood.registry.messages:FeedPush",
    "AskBundle": "wingwood.bundle.reading:BundleRequest",
    "BundleAnswer": "wingwood.bundle.reading:BundleAnswer",
    "AskHistory": "wingwood.bundle.reading:HistoryRequest",
    "HistoryAnswer": "wingwood.bundle.reading:HistoryAnswer",
}

DOCUMENTS: dict[str, str] = {
    # stored records, bodies of the HTTP interfaces, settings: a name used only here, and the module and class
    "control journal entry FoundedEntry": "wingwood.control.journal_entries:InitializedEntry",
    "control journal entry PromisedEntry": "wingwood.control.journal_entries:PreparedEntry",
    "control journal entry AcceptedEntry": "wingwood.control.journal_entries:AcceptedEntry",
    "control journal entry StateRecord": "wingwood.control.journal_entries:StateRecord",
    "control journal entry BatchEntry": "wingwood.control.journal_entries:BatchEntry",
    "control journal entry SnapshotEntry": "wingwood.control.journal_entries:SnapshotEntry",
    "control journal entry ProbeEntry": "wingwood.control.journal_entries:ProbeEntry",
    "control command SubmitOrder": "wingwood.bundle.commands:SubmitOrder",
    "control command SubmitEdition": "wingwood.bundle.commands:SubmitEdition",
    "control command FindEdition": "wingwood.bundle.commands:FindEdition",
    "control fault": "wingwood.control.errors:CommandFailure",
    "control health report": "wingwood.control.protocols:ViewReport",
    "bundle PoolShare": "wingwood.bundle.model:PoolShare",
    "bundle Service": "wingwood.bundle.model:Service",
    "bundle Engine": "wingwood.bundle.model:Engine",
    "bundle Pool": "wingwood.bundle.model:Pool",
    "bundle CallerLimits": "wingwood.bundle.model:CallerLimits",
    "bundle Edition": "wingwood.bundle.model:Edition",
    "bundle PriorityClass": "wingwood.bundle.model:PriorityClass",
    "bundle Tenant": "wingwood.bundle.model:Tenant",
    "bundle RolloutChange": "wingwood.bundle.model:RolloutChange",
    "bundle Rollout": "wingwood.bundle.model:Rollout",
    "bundle Manifest": "wingwood.bundle.model:Manifest",
    "bundle Order": "wingwood.bundle.model:Order",
    "bundle EditionChange": "wingwood.bundle.model:EditionChange",
    "bundle OrderOutcome": "wingwood.bundle.model:OrderOutcome",
    "bundle EditionStanding": "wingwood.bundle.model:EditionStatus",
    "bundle BundleDelta": "wingwood.bundle.model:BundleDelta",
    "bundle Route": "wingwood.bundle.route:Route",
    "bundle positioned slice": "wingwood.bundle.positions:_Positioned",
    "bundle problem": "wingwood.bundle.errors:BundleError",
    "bundle state AcceptedRecord": "wingwood.bundle.state_records:AcceptedRecord",
    "bundle state RefusedRecord": "wingwood.bundle.state_records:RefusedRecord",
    "bundle state RememberedOrder": "wingwood.bundle.state_records:DecidedOrder",
    "bundle state HistoryEntry": "wingwood.bundle.state_records:HistoryEntry",
    "bundle state StateSnapshot": "wingwood.bundle.state_records:StateSnapshot",
    "bundle view": "wingwood.bundle.reading:BundleView",
    "bundle not readable": "wingwood.bundle.errors:BundleReadError",
    "ledger ClaimKey": "wingwood.ledger.commands:ClaimRequest",
    "ledger SettleKey": "wingwood.ledger.commands:OutcomeReport",
    "ledger LedgerBatch": "wingwood.ledger.commands:LedgerBatch",
    "ledger LedgerAnswers": "wingwood.ledger.commands:LedgerAnswers",
    "ledger Effect": "wingwood.ledger.state_records:Effect",
    "ledger LedgerRecord": "wingwood.ledger.state_records:LedgerRecord",
    "ledger Held": "wingwood.ledger.state_records:OpenClaim",
    "ledger RouterFence": "wingwood.ledger.state_records:ClosedClaimNumbers",
    "ledger LedgerSnapshot": "wingwood.ledger.state_records:LedgerSnapshot",
    "call key": "wingwood.ledger.protocols:CallKey",
    "address file": "wingwood.membership.address_file:SavedAddresses",
    "operator error": "wingwood.operator_api.protocols:OperatorError",
    "shown bundle": "wingwood.operator_api.reading:BundleDocument",
    "health": "wingwood.operator_api.reading:HealthReport",
    "newest edition": "wingwood.operator_api.editions:LatestEdition",
    "refusal of a router": "wingwood.forward.caller_format:RouterResponseBody",
    "recorded call": "wingwood.forward.recording:RecordedCall",
    "recorded day's start": "wingwood.replay.day:DayStart",
    "day call": "wingwood.replay.day:DayCall",
    "replay report": "wingwood.replay.report:ReplayReport",
    "replay service report": "wingwood.replay.report:ServiceReport",
    "replay timing": "wingwood.replay.timing:Timing",
    "replay refusal": "wingwood.replay.player:_RefusalCode",
    "settings": "wingwood.settings.model:DaemonSettings",
    "worker load body": "wingwood.registry.worker_announcements:_LoadBody",
    "worker announcement body": "wingwood.registry.worker_announcements:_AnnouncementBody",
    "worker health answer": "wingwood.registry.worker_announcements:HealthReply",
    "registry WorkerLoad": "wingwood.registry.protocols:WorkerLoad",
    "registry Worker": "wingwood.registry.protocols:Worker",
    "registry Engagement": "wingwood.registry.protocols:ObservedLoad",
    "announcement Announcement": "wingwood.registry.announcements:Announcement",
    "announcement Departure": "wingwood.registry.announcements:Departure",
    "announcement AnnouncementRoute": "wingwood.registry.announcements:AnnouncementRoute",
    "transport Identity": "wingwood.transport.frames:Identity",
    "transport Hello": "wingwood.transport.frames:Hello",
    "transport Envelope": "wingwood.transport.frames:Envelope",
    "transport fault": "wingwood.transport.errors:TransportFailure",
    "placement choice": "wingwood.placement.protocols:Choice",
    "placement none": "wingwood.placement.protocols:NoWorker",
    "network address": "wingwood.identifiers:Address",
    "command line keys slice": "wingwood.command_line.change:_Keys",
    "platform Patch": "wingwood_platform.configuration:_Patch",
    "platform Kept": "wingwood_platform.configuration:_StoredItem",
    "platform Head": "wingwood_platform.configuration:_EditionAnnotations",
    "platform worker Model": "wingwood_platform.worker_calls:_Model",
    "platform worker Heartbeat": "wingwood_platform.worker_calls:_Heartbeat",
    "emulator announcement": "emulator.announcer:Announcement",
    "emulator fault": "emulator.faults:Fault",
    "emulator run": "emulator.worker:Run",
    "emulator call": "emulator.worker:CallBody",
}


def load(place: str) -> Any:
    module, _, name = place.partition(":")
    return getattr(importlib.import_module(module), name)


def message_shapes() -> dict[str, Any]:
    """The shape of each message under the name that travels with it."""
    return {wire_name(load(place)): shape(load(place)) for place in MESSAGES.values()}


def document_shapes() -> dict[str, Any]:
    return {name: shape(load(place)) for name, place in DOCUMENTS.items()}


def shape(annotation: Any) -> Any:
    """What the encoder makes of the type: tags, outer field names in their order, literal values; no class names."""
    return _shape(inspect.type_info(annotation), ())


def _shape(info: Any, outside: tuple[type, ...]) -> Any:
    kind = type(info).__name__.removesuffix("Type")
    match info:
        case inspect.StructType():
            if info.cls in outside:
                return "recursive"
            fields = [[f.encode_name, _shape(f.type, (*outside, info.cls))] for f in info.fields]
            return {"array": info.array_like, "tag": info.tag, "tag_field": info.tag_field, "fields": fields}
        case inspect.LiteralType():
            return [kind, sorted(map(str, info.values))]
        case inspect.UnionType():
            return [kind, sorted((_shape(t, outside) for t in info.types), key=str)]
        case inspect.TupleType():
            return [kind, [_shape(t, outside) for t in info.item_types]]
        case inspect.DictType():
            return [kind, _shape(info.key_type, outside), _shape(info.value_type, outside)]
        case _ if hasattr(info, "item_type"):
            return ["Sequence", _shape(info.item_type, outside)]
        case _:
            return kind


def command_shapes() -> dict[str, list[str]]:
    """Each command of the command line with its arguments, options and environment variables."""
    return dict(_commands(main, "wingwood"))


def _commands(command: click.Command, path: str) -> Iterator[tuple[str, list[str]]]:
    yield path, sorted(f"{' '.join(p.opts)} {p.envvar or ''}".strip() for p in command.params)
    if isinstance(command, click.Group):
        for name, inner in command.commands.items():
            yield from _commands(inner, f"{path} {name}")


def log_events() -> dict[str, list[str]]:
    """Each logged event with all fields that any place gives it."""
    found: dict[str, set[str]] = {}
    for call in _calls():
        name = getattr(call.func, "attr", getattr(call.func, "id", ""))
        first = call.args[0] if call.args else None
        if name in {"event", "_log", "log"} and isinstance(first, ast.Constant) and isinstance(first.value, str):
            fields = found.setdefault(first.value, set())
            fields.update(keyword.arg or "**" for keyword in call.keywords)
    return {event: sorted(fields) for event, fields in sorted(found.items())}


METRIC_TYPES = {"Counter", "Gauge", "Histogram", "Summary", "CounterMetricFamily", "GaugeMetricFamily"}


def metrics() -> dict[str, list[str]]:
    """Each metric with the words among its arguments, which are its labels."""
    found: dict[str, list[str]] = {}
    for call in _calls():
        name = getattr(call.func, "attr", getattr(call.func, "id", ""))
        if name not in METRIC_TYPES or not call.args or not isinstance(call.args[0], ast.Constant):
            continue
        labels = [n.value for a in call.args[2:] for n in ast.walk(a) if isinstance(n, ast.Constant)]
        labels += [
            n.value for k in call.keywords if k.arg == "labels" for n in ast.walk(k) if isinstance(n, ast.Constant)
        ]
        found[str(call.args[0].value)] = [str(label) for label in labels]
    return dict(sorted(found.items()))


def _calls() -> Iterator[ast.Call]:
    for top in SHIPPED:
        for path in sorted((ROOT / top).rglob("*.py")):
            if "tests" not in path.relative_to(ROOT).parts:
                yield from (node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Call))


def current() -> dict[str, Any]:
    return {
        "messages": message_shapes(),
        "documents": document_shapes(),
        "commands": command_shapes(),
        "events": log_events(),
        "metrics": metrics(),
    }


def write(file: Path) -> None:
    """Pins the names of the present code, one name a line; run by hand when an outer name changes on purpose."""
    parts = []
    for part, entries in current().items():
        lines = [
            f"{msgspec.json.encode(name).decode()}: {msgspec.json.encode(entry).decode()}"
            for name, entry in sorted(entries.items())
        ]
        parts.append(f'"{part}": {{\n' + ",\n".join(lines) + "\n}")
    file.write_text("{\n" + ",\n".join(parts) + "\n}\n")
