"""Builds one control daemon from its parts (docs/DESIGN.md section 15)."""

from __future__ import annotations

from collections.abc import Sequence

from prometheus_client import CollectorRegistry, Gauge
from returns.result import Failure, Result, Success

from ..bundle.commands import SubmitOrder
from ..bundle.errors import BundleReadError
from ..bundle.model import Bundle, OrderOutcome
from ..bundle.parse import parse_bundle
from ..bundle.reading import BundleAnswer, HistoryAnswer, LocalBundleReader, RemoteBundleReader
from ..bundle.state import BundleState
from ..context.protocols import Context
from ..control.bundle_source import CommittedBundles
from ..control.client import ControlClient
from ..control.core import ReplicatedCore
from ..control.errors import CommandFailure
from ..control.relay import RelayCore
from ..control.store import Contents, ControlStore, open_store
from ..distribution.freshness_confirmation import FreshnessConfirmer
from ..distribution.publisher import BundlePublisher
from ..identifiers import Address, BundleVersion, Incarnation, Seconds
from ..ledger.state import LedgerState
from ..membership.address_file import AddressFile
from ..membership.coordinator import MembershipCoordinator
from ..operator_api.editions import EditionClient
from ..operator_api.orders import OrderRoutes
from ..operator_api.reading import HealthReport, ReadRoutes
from ..operator_api.server import OperatorServer
from ..registry.worker_registry import WorkerRegistry
from ..settings.model import DaemonSettings
from ..transport.frames import Identity
from ..transport.messenger import TcpMessenger
from .adapter import ControlAdapter
from .process import ReadSettings, StartFailure, run_daemon

DISK_RETRY_BACKOFF_S = Seconds(1.0)
"""The time between attempts to open the data folder at the start, when the disk is full or failing."""
MAX_PRIMARY_PROOF_AGE_S = Seconds(3.0)
"""The age above which the last proof from a primary counts as no primary; a take-over takes less time than this."""


RELEASE_WAIT_S = Seconds(0.3)
"""Time between the release of leadership and the end of the process, in which the other members are notified."""


class ControlDaemon:
    """A control daemon, whose parts are created in ``start`` because the data folder states its incarnation."""

    def __init__(self, context: Context, settings: DaemonSettings, adapter: ControlAdapter | None = None) -> None:
        self._context = context
        self._settings = settings
        self._adapter = adapter or ControlAdapter()
        self._parts: ControlParts | None = None

    async def start(self) -> Result[None, StartFailure]:
        """Opens the data folder, if the settings name one, then builds and starts the parts."""
        if self._settings.data_folder is None:
            self._parts = ControlParts(self._context, self._settings, None, self._adapter)
            return self._parts.start()
        match await open_store(
            self._context, self._settings.begin_empty_when_damaged, retry_backoff=DISK_RETRY_BACKOFF_S
        ):
            case Success(opened):
                self._parts = ControlParts(self._context, self._settings, opened, self._adapter)
                return self._parts.start()
            case Failure(fault):
                return Failure(StartFailure(fault.detail))
        raise AssertionError("a result is a success or a failure")

    async def drain(self) -> None:
        """Releases the leadership and leaves the other members time to take over."""
        if self._parts is not None:
            self._parts.core.release_leadership()
            await self._context.clock.sleep(RELEASE_WAIT_S)

    def stop(self) -> None:
        """Closes all connections and listeners at once."""
        if self._parts is not None:
            self._parts.stop()

    def settings_changed(self, settings: DaemonSettings) -> None:
        """Uses the seeds of the changed settings; everything else takes effect at the next start."""
        if self._parts is not None:
            self._parts.coordinator.use_seeds(settings.seeds)


class ControlParts:
    """The parts of one control daemon over its opened data folder.

    Without a data folder the daemon is a relay (section 7.12).
    """

    def __init__(
        self,
        context: Context,
        settings: DaemonSettings,
        opened: tuple[ControlStore, Contents] | None,
        adapter: ControlAdapter,
    ) -> None:
        self._context = context
        self._settings = settings
        self._identity = Identity(
            name=settings.name,
            incarnation=opened[0].incarnation if opened is not None else _new_incarnation(context),
            role="control",
            zone=settings.zone,
            internal=settings.internal,
            operator=settings.operator,
        )
        self.messenger = TcpMessenger(context, self._identity, settings.fleet_key)
        self.coordinator = MembershipCoordinator(context, self.messenger, settings.seeds)
        self.state = BundleState(
            settings.bundle_signers,
            settings.outcome_retention,
            settings.history_versions,
            settings.bundle_bytes,
            settings.signing_key,
            context.clock.wall,
        )
        self.ledger = LedgerState(context.clock, settings.ledger_retention, self.coordinator.is_member)
        self.core = self._make_core(opened)
        self.source = CommittedBundles(self.core, self.state)
        self.freshness = FreshnessConfirmer(context, self.messenger, self.core, self.source, self.coordinator)
        self.publisher = BundlePublisher(context, self.messenger, self.core, self.source, self.coordinator)
        self.coordinator.set_update_source(self.freshness.membership_update)
        self.address_file = AddressFile(context, self.messenger, self.coordinator)
        self.registry = WorkerRegistry(context, self.messenger, self.coordinator, settings, adapter.announcements)
        self.client = ControlClient(context, self.messenger, self.core.control_addresses)
        self.local_reader = LocalBundleReader(self.state, lambda: self.source.version, self._stores_bundles)
        self.local_reader.serve(self.messenger)
        self.remote_reader = RemoteBundleReader(self.messenger, self._primary)
        self.editions = EditionClient(self.client, (self.local_reader, self.remote_reader), context.clock)
        self.metrics = CollectorRegistry()
        self._add_gauges(self.metrics)
        self._parsed: Bundle | None = None
        self.operator_server = OperatorServer(context)
        self.registry.add_routes(self.operator_server)
        OrderRoutes(self._submit, settings.bundle_bytes).add_to(self.operator_server)
        ReadRoutes(
            current=self.current,
            reader=self,
            members=self.coordinator.members,
            workers=self.registry.all_workers,
            health=self.health,
            metrics=self.metrics,
        ).add_to(self.operator_server)
        adapter.add_routes(self, self.operator_server)

    def _make_core(self, opened: tuple[ControlStore, Contents] | None) -> ReplicatedCore | RelayCore:
        context, seeds = self._context, self._settings.seeds
        if opened is None:
            return RelayCore(context, self.messenger, seeds, self.coordinator.known_controls)
        store, contents = opened
        return ReplicatedCore(
            context,
            self.messenger,
            store,
            contents,
            (self.state, self.ledger),
            seeds,
            self.coordinator.core_may_exist,
            self.coordinator.known_controls,
            failures_tolerated=self._settings.losses_borne,
        )

    def start(self) -> Result[None, StartFailure]:
        """Listens on all addresses, then starts the parts; a failure names the address that can't be used."""
        if isinstance(listening := self.messenger.start(), Failure):
            return Failure(StartFailure(f"internal address: {listening.failure().detail}"))
        if isinstance(listening := self.operator_server.start(self._settings.operator), Failure):
            return Failure(StartFailure(f"operator address: {listening.failure().detail}"))
        self.coordinator.start()
        self.address_file.start()
        self.core.start()
        self.freshness.start()
        self.publisher.start()
        self.registry.start()
        return Success(None)

    def stop(self) -> None:
        """Stops all parts and closes all connections and listeners at once."""
        self.freshness.stop()
        self.publisher.stop()
        self.address_file.stop()
        self.coordinator.stop()
        self.operator_server.stop()
        self.messenger.stop()

    async def _submit(self, command: SubmitOrder, within: Seconds) -> Result[OrderOutcome, CommandFailure]:
        return await self.client.submit(command, within)

    def current(self) -> Bundle | None:
        """Returns the latest durable bundle, which the primary and the backup store; None on other daemons."""
        manifest = self.source.latest()
        if manifest is None:
            return None
        if self._parsed is None or self._parsed.version != manifest.version:
            slices = self.state.slices_at(manifest.version)
            parsed = None if slices is None else parse_bundle(manifest, slices)
            self._parsed = parsed.unwrap() if isinstance(parsed, Success) else None
        return self._parsed

    def health(self) -> HealthReport:
        """Returns the status of this control daemon, with the reasons why it is not ready."""
        now = self._context.clock.monotonic()
        report = self.core.report()
        session = self.coordinator.session_confirmed_at()
        update = self.freshness.membership_update()
        in_view = report.own_role in ("primary", "backup", "witness", "relay") and report.primary is not None
        primary_proven = update.confirmation_age is not None and update.confirmation_age <= MAX_PRIMARY_PROOF_AGE_S
        reasons = [report.detail] if report.detail else []
        if not in_view:
            relay = report.own_role == "relay"
            problem = "knows no view yet" if relay else "no seat in the view yet"
            reasons.append(f"{problem}: waits for the fleet to form" + ("" if relay else ", or as a spare"))
        elif not primary_proven:
            reasons.append("no primary has proven its lead to this daemon of late")
        return HealthReport(
            name=self._settings.name,
            role="control",
            zone=self._settings.zone,
            incarnation=self._identity.incarnation,
            ready=in_view and primary_proven,
            reasons=tuple(reasons),
            version=BundleVersion(max(self.source.version, update.confirmed_version)),
            bundle_proven_age=update.confirmation_age,
            session_age=None if session is None else Seconds(now - session),
            members=len(self.coordinator.members()),
            workers_ready=sum(worker.state == "ready" for worker in self.registry.all_workers()),
            control=report,
        )

    # -- BundleReader: reads the own state where bundles are stored, and asks the primary elsewhere

    async def bundle(self, version: BundleVersion) -> Result[BundleAnswer, BundleReadError]:
        """Returns a version of the bundle; 0 stands for the latest one."""
        return await self._reader().bundle(version)

    async def history(self, limit: int) -> Result[HistoryAnswer, BundleReadError]:
        """Returns the latest ``limit`` entries of the history."""
        return await self._reader().history(limit)

    def _reader(self) -> LocalBundleReader | RemoteBundleReader:
        return self.local_reader if self.local_reader.is_authoritative() else self.remote_reader

    def _stores_bundles(self) -> bool:
        """Whether this daemon is the primary, or a backup that knows which versions are durable."""
        return self.core.leads() or (self.core.report().own_role == "backup" and self.source.version > 0)

    def _primary(self) -> Sequence[Address]:
        primary = self.core.primary_address()
        return () if primary is None else (primary,)

    def _add_gauges(self, registry: CollectorRegistry) -> None:
        leads = Gauge("wingwood_control_leads", "1 while this daemon is primary", registry=registry)
        leads.set_function(lambda: float(self.core.leads()))
        complete = Gauge("wingwood_control_complete", "1 while another loss could be borne", registry=registry)
        complete.set_function(lambda: float(self.core.report().complete))
        epoch = Gauge("wingwood_control_epoch", "Newest epoch known", registry=registry)
        epoch.set_function(lambda: float(self.core.epoch()))
        version = Gauge("wingwood_control_version", "Newest durable bundle version known here", registry=registry)
        version.set_function(lambda: float(self.source.version))


def _new_incarnation(context: Context) -> Incarnation:
    return Incarnation(f"{context.random.getrandbits(64):016x}")


def build(context: Context, settings: DaemonSettings) -> ControlDaemon:
    """Returns the daemon with the product's own formats."""
    return ControlDaemon(context, settings)


def run(
    settings: DaemonSettings, adapter: ControlAdapter | None = None, read_settings: ReadSettings | None = None
) -> int:
    """Runs the process ``wingwood control`` and returns its exit code."""
    return run_daemon(
        settings, lambda context, daemon_settings: ControlDaemon(context, daemon_settings, adapter), read_settings
    )
