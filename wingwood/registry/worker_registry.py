"""The workers that a daemon knows, and which of them may get turns (docs/DESIGN.md section 10)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..context.protocols import Context
from ..identifiers import Instant, PoolName, Seconds, WorkerInstance
from ..membership.protocols import Membership
from ..operator_api.protocols import OperatorReply, OperatorRequest, OperatorRoutes
from ..settings.model import DaemonSettings
from ..transport.frames import Identity
from ..transport.messenger import Messenger
from .announcement_handler import AnnouncementHandler
from .announcements import AnnouncementFormat
from .call_outcomes import OutcomeCounts
from .ejections import Ejections
from .feed_poller import FeedPoller
from .feed_publisher import FeedPublisher
from .feed_receiver import FeedReceiver
from .feed_server import FeedServer
from .feed_timing import FEED_INTERVAL_S, SESSION_CONFIRMATION_MAX_AGE_S
from .feeds import Feeds
from .health_checks import HealthChecks
from .messages import WorkerQuery, WorkerQueryReply
from .observed_loads import ObservedLoadSums
from .pool_owners import PoolOwners
from .pool_ownership import PoolOwnership
from .protocols import ObservedLoad, Worker
from .trial_calls import TrialCalls
from .worker_announcements import LIST_PATH, DefaultAnnouncementFormat, ListedWorker, worker_list_reply
from .worker_checks import WorkerCheck
from .worker_directory import WorkerDirectory


class WorkerRegistry:
    """Implements Registry, CallOutcomes and ObservedLoadExchange. Runs on every daemon; only routers are owners.

    Builds the parts and runs the loop that polls the owners, evaluates call outcomes and expires renewals.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        membership: Membership,
        settings: DaemonSettings,
        announcement_format: AnnouncementFormat | None = None,
    ) -> None:
        """``announcement_format``: the format in which workers announce themselves; the product's own by default."""
        uses_trial_calls, unrenewed_after = settings.worker_check == "trial", settings.worker_unrenewed_after
        self._context = context
        self._membership = membership
        self._announcement_format = announcement_format or DefaultAnnouncementFormat()
        self._directory = directory = WorkerDirectory(context, lambda pool: self._update_ownership([pool]))
        self.pool_owners = PoolOwners(messenger, membership, settings.zone)
        """The router of each zone that owns a pool."""
        self._ejections = Ejections(context, directory)
        self._outcomes = OutcomeCounts()
        self._sums = ObservedLoadSums(messenger.identity.incarnation, directory.observed_load_max_age_s)
        self._feeds = Feeds()
        self._feed_publisher = FeedPublisher(context.clock, messenger, membership, directory)
        self._ownership = PoolOwnership(
            context,
            messenger,
            membership,
            directory,
            self.pool_owners,
            self._feed_publisher,
            uses_trial_calls,
            unrenewed_after,
        )
        self._receiver = FeedReceiver(
            context,
            messenger,
            directory,
            self.pool_owners,
            self._ownership,
            self._sums,
            self._ejections,
            self._feeds,
        )
        self._poller = FeedPoller(
            context,
            messenger,
            membership,
            directory,
            self.pool_owners,
            self._sums,
            self._outcomes,
            self._feeds,
            self._receiver,
        )
        # Registers itself at the messenger.
        FeedServer(context, messenger, membership, directory, self._ownership, self._sums, self._ejections)
        self._check: WorkerCheck = (
            TrialCalls(context, directory, self._ejections, self._outcomes, unrenewed_after)
            if uses_trial_calls
            else HealthChecks(context, directory, self._ownership, self._receiver.feed_age)
        )
        self.announcements = AnnouncementHandler(
            context, messenger, membership, directory, self.pool_owners, self._ownership, self._announcement_format
        )
        """Receives what workers announce to this daemon."""
        messenger.on_call(WorkerQuery, self._on_worker_query)
        membership.on_change(self._on_members_changed)

    def start(self) -> None:
        """Starts to follow the owners and to forward renewals."""
        self._context.tasks.spawn("worker feed", self._follow_feeds())
        self.announcements.start()

    def add_routes(self, routes: OperatorRoutes) -> None:
        """Adds the routes on which workers announce themselves and operators list them."""
        for route in self._announcement_format.routes:
            routes.add(route.method, route.path, self.announcements.handle_announcement)
        routes.add("GET", LIST_PATH, self._list)

    # --- Registry and CallOutcomes ------------------------------------------------------------

    def ready(self, pool: PoolName) -> Sequence[Worker]:
        """See ``Registry.ready``."""
        return self._check.ready(self._directory.table(pool))

    def find(self, instance: WorkerInstance) -> Worker | None:
        """See ``Registry.find``."""
        return self._directory.find(instance)

    async def confirm(self, worker: Worker) -> bool:
        """See ``Registry.confirm``."""
        return await self._check.confirm(worker)

    def begin(self, instance: WorkerInstance) -> bool:
        """See ``CallOutcomes.begin``."""
        return self._check.begin(instance)

    def succeeded(self, instance: WorkerInstance) -> None:
        """See ``CallOutcomes.succeeded``."""
        self._check.succeeded(instance)

    def failed(self, instance: WorkerInstance) -> None:
        """See ``CallOutcomes.failed``."""
        self._check.failed(instance)

    def suspect(self, instance: WorkerInstance, reason: str = "") -> None:
        """See ``Registry.suspect``; ``reason`` goes to the log. Workers that are gone are not suspected."""
        worker = self.find(instance)
        if worker is not None and worker.state != "gone":
            self._check.suspect(worker, reason)

    def misplaced(self, instance: WorkerInstance) -> None:
        """See ``CallOutcomes.misplaced``."""
        worker = self.find(instance)
        if worker is not None and worker.state != "gone":
            self._check.misplaced(worker)

    def abandoned(self, instance: WorkerInstance) -> None:
        """See ``CallOutcomes.abandoned``."""
        self._check.abandoned(instance)

    def slow_start_remaining(self, instance: WorkerInstance) -> Seconds:
        """See ``CallOutcomes.slow_start_remaining``."""
        return self._directory.slow_start_remaining(instance)

    def on_change(self, callback: Callable[[Worker], None]) -> None:
        """See ``Registry.on_change``."""
        self._directory.on_change(callback)

    # --- ObservedLoadExchange -----------------------------------------------------------------

    def register_counter(self, count: Callable[[PoolName], dict[WorkerInstance, ObservedLoad]]) -> None:
        """See ``ObservedLoadExchange.register_counter``."""
        self._sums.register_counter(count)

    def observed_load_of_others(self, instance: WorkerInstance) -> ObservedLoad:
        """See ``ObservedLoadExchange.observed_load_of_others``."""
        return self._receiver.observed_load_of_others(instance)

    # --- what is known ------------------------------------------------------------------------

    def all_workers(self) -> Sequence[Worker]:
        """Returns all workers known here, in any state, sorted by pool and instance; for operators."""
        return [record.worker for record in self._directory.records()]

    def pools(self) -> Sequence[PoolName]:
        """Returns all pools known here."""
        return self._directory.pools()

    def is_suspected(self, instance: WorkerInstance) -> bool:
        """Returns whether calls to the worker, or its health check, failed recently.

        Such a worker may still be listed as ready if too few others are left.
        """
        return self._check.is_suspected(instance)

    def watch(self, pool: PoolName) -> None:
        """Starts to follow this pool, even if no turn has requested it yet."""
        self._directory.table(pool)

    def set_default_cache_tokens(self, pool: PoolName, cache_tokens: int) -> None:
        """Sets the KV cache size, in tokens, of the pool's workers that do not announce it themselves."""
        self._directory.table(pool).set_default_cache_tokens(cache_tokens)

    def feed_age(self, pool: PoolName) -> float:
        """Returns the seconds since this daemon's knowledge of the pool was last confirmed; infinite if never."""
        return self._receiver.feed_age(pool)

    async def _on_worker_query(self, _peer: Identity, message: WorkerQuery) -> WorkerQueryReply:
        ages = [self.feed_age(pool) for pool in self._directory.pools()]
        return WorkerQueryReply(self.find(message.instance), Seconds(max(ages, default=float("inf"))))

    async def _list(self, _request: OperatorRequest) -> OperatorReply:
        return worker_list_reply(
            [
                ListedWorker(record.worker, record.renewed, self._check.is_suspected(record.worker.instance))
                for record in self._directory.records()
            ]
        )

    # --- owners -------------------------------------------------------------------------------

    def _on_members_changed(self) -> None:
        before = self.pool_owners.refresh()
        self.announcements.owners_changed(before)
        self._update_ownership(self._directory.pools())

    def _update_ownership(self, pools: Sequence[PoolName]) -> None:
        """Starts and ends this daemon's ownership of pools according to the current members."""
        for pool in pools:
            if self.pool_owners.is_own(pool) == self._ownership.owns(pool):
                continue
            self._feeds.discard(pool)  # this daemon expired renewals itself, so feeds must start over
            if self._ownership.owns(pool):
                self._ownership.end(pool)
            else:
                self._ownership.begin(pool)

    async def _follow_feeds(self) -> None:
        last = self._now()
        while True:
            now = self._now()
            confirmed_at = self._membership.session_confirmed_at()
            was_paused = now - last > SESSION_CONFIRMATION_MAX_AGE_S
            if was_paused or confirmed_at is None or now - confirmed_at > SESSION_CONFIRMATION_MAX_AGE_S:
                self._ownership.reset_sync()
            last = now
            self._poller.poll()
            self._maintain_owned_pools()
            for instance in self._directory.evict_old():
                self._check.evict(instance)
                self._outcomes.evict(instance)
            await self._context.clock.sleep(FEED_INTERVAL_S)

    def _maintain_owned_pools(self) -> None:
        """Evaluates the outcomes of calls, and expires renewals."""
        for pool in self._ownership.pools():
            self._ownership.update_synced(pool)
            table = self._directory.table(pool)
            self._ejections.evaluate(table, self._outcomes.collect(sorted(table.records)))
            self._ownership.expire_renewals(pool)

    def _now(self) -> Instant:
        return self._context.clock.monotonic()
