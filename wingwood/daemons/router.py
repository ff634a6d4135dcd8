"""Builds one router daemon from its parts (docs/DESIGN.md section 15)."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping, Sequence

from prometheus_client import CollectorRegistry
from returns.result import Failure, Result, Success

from ..bundle.model import Bundle, Service, Tenant
from ..bundle.reading import RemoteBundleReader
from ..bundle.variants import VariantTarget
from ..context.protocols import Context
from ..control.client import ControlClient
from ..distribution.applied_bundle import AppliedBundle
from ..distribution.follower import BundleFollower
from ..forward.forward_options import options_from_settings
from ..forward.metrics import RequestMetrics
from ..forward.recording import CallRecorder
from ..forward.request_path import RequestPath
from ..identifiers import Address, Incarnation, Instant, PoolName, Seconds, TenantName
from ..ledger.client import RouterLedger
from ..limits.admission import DeadlineAdmission
from ..limits.retry_budget import RetryLimits, ServiceRetryBudget
from ..limits.shares import FleetShares
from ..limits.tolerance import QuotaTolerance
from ..membership.client import MembershipClient
from ..operator_api.orders import OrderRoutes
from ..operator_api.reading import HealthReport, ReadRoutes
from ..operator_api.server import OperatorServer
from ..placement.policies import create_placement
from ..placement.reservation_placement import ReservationPlacement
from ..registry.protocols import Worker
from ..registry.worker_registry import WorkerRegistry
from ..settings.model import DaemonSettings
from ..transport.frames import Identity
from ..transport.messenger import TcpMessenger
from .adapter import RouterAdapter
from .call_record_file import CallRecordFile
from .process import ReadSettings, StartFailure, run_daemon
from .router_metrics import RouterStateCollector

CONTROL_SILENCE_LIMIT_S = Seconds(3.0)
"""The time without an answer from control after which a router probes whether it still reaches any worker."""
WORKER_PROBE_INTERVAL_S = Seconds(1.0)
WORKERS_PER_PROBE = 16
"""The number of workers probed per interval while no control daemon answers."""
WORKER_LISTS_TIMEOUT_S = Seconds(3.0)
"""The time after which a router with a bundle is ready even if it has received no worker lists, since its pools
may have no workers."""


class RouterDaemon:
    """A router with all its parts: it serves callers, places their calls on workers and follows the bundle."""

    def __init__(self, context: Context, settings: DaemonSettings, adapter: RouterAdapter | None = None) -> None:
        adapter = adapter or RouterAdapter()
        self._context = context
        self._settings = settings
        self._identity = Identity(
            name=settings.name,
            incarnation=Incarnation(f"{context.random.getrandbits(64):016x}"),
            role="router",
            zone=settings.zone,
            internal=settings.internal,
            operator=settings.operator,
            caller=settings.caller,
        )
        self.messenger = TcpMessenger(context, self._identity, settings.fleet_key)
        self.membership = MembershipClient(context, self.messenger, settings.seeds)
        self.bundle = AppliedBundle(
            context,
            VariantTarget(settings.zone, settings.name),
            settings.bundle_signers,
            settings.removed_key_bound,
        )
        self.follower = BundleFollower(context, self.messenger, self.membership, self.bundle)
        self.control = ControlClient(context, self.messenger, self._control_addresses)
        self.registry = WorkerRegistry(context, self.messenger, self.membership, settings)
        self.placement = create_placement(context, self.messenger, self.membership, self.registry, settings)
        self.shares = FleetShares(
            context,
            self.messenger,
            self.membership,
            self._tenant,
            tolerance=QuotaTolerance(
                window=settings.quota_window, over=settings.quota_over, slack=settings.quota_slack
            ),
        )
        retries = RetryLimits(ratio=settings.retry_ratio, slack=settings.retry_slack, window=settings.retry_window)
        self.ledger = RouterLedger(context, self._identity.incarnation, self.control)
        self.metrics = CollectorRegistry()
        self._record_file = None if settings.record_file is None else CallRecordFile(context, settings.record_file)
        self.path = RequestPath(
            context,
            settings,
            self.bundle,
            self.shares,
            ServiceRetryBudget(context.clock, self._router_count, retries),
            self.ledger,
            self.placement,
            self.registry,
            DeadlineAdmission(),
            RequestMetrics(self.metrics),
            options=options_from_settings(settings),
            recorder=None if self._record_file is None else CallRecorder(context.clock, self._record_file.write),
            formats=adapter.formats,
            outcomes=self.registry,
            router_count=self._router_count,
            has_workers=self._has_workers,
        )
        self.operator_server = OperatorServer(context)
        self.registry.add_routes(self.operator_server)
        OrderRoutes(self.control.submit, settings.bundle_bytes).add_to(self.operator_server)
        ReadRoutes(
            current=self.bundle.current,
            reader=RemoteBundleReader(self.messenger, self._control_addresses),
            members=self.membership.members,
            workers=self._workers,
            health=self.health,
            metrics=self.metrics,
        ).add_to(self.operator_server)
        adapter.add_routes(self, self.operator_server)
        RouterStateCollector(self.health, self._placement_counts, self.ledger.unacknowledged_outcomes).add_to(
            self.metrics
        )
        self._stopping = False
        self._worker_lists_received = False
        """Once True it stays True, so that a pool added by a later bundle does not make the router not ready."""
        self._first_bundle_at: Instant | None = None
        self.bundle.on_change(self._watch_pools)

    async def start(self) -> Result[None, StartFailure]:
        """Listens on all addresses, then starts the parts; a failure names the address that can't be used."""
        if isinstance(listening := self.messenger.start(), Failure):
            return Failure(StartFailure(f"internal address: {listening.failure().detail}"))
        if isinstance(listening := self.operator_server.start(self._settings.operator), Failure):
            return Failure(StartFailure(f"operator address: {listening.failure().detail}"))
        if isinstance(listening := self.path.start(), Failure):
            return Failure(StartFailure(f"caller address: {listening.failure().detail}"))
        self.membership.start()
        self.follower.start()
        self.registry.start()
        self.shares.start()
        self.ledger.start()
        if self._record_file is not None:
            self._record_file.start()
        self._context.tasks.spawn("workers when alone", self._probe_workers_without_control())
        return Success(None)

    async def drain(self) -> None:
        """Ends the calls in flight, returns the allowances, makes outcomes durable and ends the session."""
        self._stopping = True
        await self.path.drain()
        self.shares.return_allowances()
        await self.ledger.drain(Seconds(2.0))
        if self._record_file is not None:
            await self._record_file.flush()
        self.membership.stop()

    def stop(self) -> None:
        """Closes all connections and listeners at once."""
        self._stopping = True
        self.path.stop()
        self.follower.stop()
        self.operator_server.stop()
        self.messenger.stop()

    def settings_changed(self, settings: DaemonSettings) -> None:
        """Uses the seeds of the changed settings; everything else takes effect at the next start."""
        self.membership.use_seeds(settings.seeds)

    def health(self) -> HealthReport:
        """Returns the status of this router, with the reasons why it is not ready."""
        reasons = []
        if self._stopping:
            reasons.append("stopping")
        bundle = self.bundle.current()
        if bundle is None:
            reasons.append("no bundle yet")
        elif not self.bundle.may_serve():
            reasons.append("the bundle in force cannot be proven to be the newest")
        if self.membership.session_confirmed_at() is None:
            reasons.append("no session with a control daemon yet")
        if not (worker_lists_received := self._has_received_worker_lists()):
            reasons.append("not heard of the workers yet")
        if isolated := self._is_isolated():
            reasons.append("neither a control daemon nor a worker can be reached")
        now = self._context.clock.monotonic()
        confirmed, session = self.bundle.confirmed_latest_at(), self.membership.session_confirmed_at()
        return HealthReport(
            name=self._settings.name,
            role="router",
            zone=self._settings.zone,
            incarnation=self._identity.incarnation,
            ready=self.path.ready() and worker_lists_received and not isolated,
            reasons=tuple(reasons),
            version=self.bundle.version(),
            bundle_proven_age=None if confirmed is None else Seconds(now - confirmed),
            session_age=None if session is None else Seconds(now - session),
            members=len(self.membership.members()),
            workers_ready=sum(worker.state == "ready" for worker in self._workers()),
        )

    def _watch_pools(self, bundle: Bundle) -> None:
        """Follows the workers of all pools as soon as the bundle is in force, not only from a pool's first call on."""
        if self._first_bundle_at is None:
            self._first_bundle_at = self._context.clock.monotonic()
        for pool in pools_of(bundle.services.values()):
            self.registry.watch(pool)
            declared = bundle.pools.get(pool)
            if declared is not None and declared.engine is not None:
                self.registry.set_default_cache_tokens(pool, declared.engine.cache_tokens)

    def _has_received_worker_lists(self) -> bool:
        """Whether a pool owner has sent the workers of every pool since the start.

        Also True once ``WORKER_LISTS_TIMEOUT_S`` has passed since the first bundle came in force.
        """
        bundle = self.bundle.current()
        if not self._worker_lists_received and bundle is not None and self._first_bundle_at is not None:
            waited = self._context.clock.monotonic() - self._first_bundle_at
            self._worker_lists_received = waited > WORKER_LISTS_TIMEOUT_S or all(
                self.registry.feed_age(pool) < float("inf") for pool in pools_of(bundle.services.values())
            )
        return self._worker_lists_received

    def _has_workers(self) -> bool:
        """Whether each pool of the bundle in force has a ready worker."""
        bundle = self.bundle.current()
        return bundle is not None and all(self.registry.ready(pool) for pool in pools_of(bundle.services.values()))

    def _is_isolated(self) -> bool:
        """Whether this router reaches neither a control daemon nor a worker of any pool.

        It is then not ready, so that callers are sent to other routers. A router that only has no workers stays ready:
        then all routers are in the same state, and callers need an answer that says so.
        """
        return self._has_lost_control() and not self._ready_workers()

    def _has_lost_control(self) -> bool:
        session = self.membership.session_confirmed_at()
        return session is not None and self._context.clock.monotonic() - session > CONTROL_SILENCE_LIMIT_S

    def _ready_workers(self) -> list[Worker]:
        bundle = self.bundle.current()
        pools = () if bundle is None else pools_of(bundle.services.values())
        ready = [worker for pool in pools for worker in self.registry.ready(pool)]
        return [worker for worker in ready if not self.registry.is_suspected(worker.instance)]

    async def _probe_workers_without_control(self) -> None:
        """Probes ready workers while control does not answer.

        Workers that do not answer are marked as suspected and no longer count as ready; see ``_is_isolated``.
        """
        while True:
            await self._context.clock.sleep(WORKER_PROBE_INTERVAL_S)
            if self._has_lost_control():
                asked = self._ready_workers()
                chosen = self._context.random.sample(asked, min(WORKERS_PER_PROBE, len(asked)))
                await asyncio.gather(*(self.registry.confirm(worker) for worker in chosen))

    def _tenant(self, name: TenantName) -> Tenant | None:
        bundle = self.bundle.current()
        return None if bundle is None else bundle.tenants.get(name)

    def _control_addresses(self) -> Sequence[Address]:
        """Returns the addresses of control daemons, the presumed primary first, so that calls reach it directly."""
        primary = self.membership.primary_address()
        known = self.membership.known_controls()
        return known if primary is None else list(dict.fromkeys([primary, *known]))

    def _router_count(self) -> int:
        return max(1, len(self.membership.routers()))

    def _placement_counts(self) -> Mapping[str, int]:
        return self.placement.counts if isinstance(self.placement, ReservationPlacement) else {}

    def _workers(self) -> Sequence[Worker]:
        return self.registry.all_workers()


def pools_of(services: Collection[Service]) -> list[PoolName]:
    """Returns the sorted names of the pools of all services, including pools that take a share of a service's calls."""
    shared = {share.pool for service in services for share in service.split}
    return sorted({service.pool for service in services} | shared)


def build(context: Context, settings: DaemonSettings) -> RouterDaemon:
    """Returns the daemon with the product's own formats."""
    return RouterDaemon(context, settings)


def run(
    settings: DaemonSettings, adapter: RouterAdapter | None = None, read_settings: ReadSettings | None = None
) -> int:
    """Runs the process ``wingwood router`` and returns its exit code."""
    return run_daemon(
        settings, lambda context, daemon_settings: RouterDaemon(context, daemon_settings, adapter), read_settings
    )
