"""The control core of one control daemon, built from its parts (docs/DESIGN.md section 7)."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from ..context.protocols import Context
from ..identifiers import Address, Epoch, Seconds
from ..transport.messenger import Messenger
from .acceptor import Acceptor
from .backup import Backup
from .batch_runner import BatchRunner
from .changes import ChangeSignal
from .command_queue import CommandQueue
from .commands import Answer
from .control_options import ControlOptions
from .directory import ControlDirectory
from .election import Candidate
from .failover import Failover
from .follower import Follower
from .formation import FirstViewFormation
from .guarded_store import GuardedStore
from .health import HealthReporter
from .heartbeats import Heartbeats
from .joining import Joining
from .journal_rewriting import JournalRewriter
from .leadership_confirmation import LeadershipConfirmation
from .member_state import MemberState
from .own_leadership import OwnLeadership
from .peer_client import PeerClient
from .planning import ClusterSize, ViewPlanner
from .primary import Primary
from .primary_monitor import PrimaryMonitor
from .protocols import Applier, ViewReport
from .replica import Replica
from .replicator import Replicator
from .store import Contents, ControlStore
from .views import ViewMember


class ReplicatedCore:
    """A ``ControlCore`` that is primary, backup or witness, depending on the current view.

    It builds the parts, starts and stops them, and offers what other packages need of them. ``store`` and
    ``contents`` come from ``open_store``; the messenger's identity must carry ``store.incarnation``.
    ``knows_of_history`` returns whether any daemon known here has seen a bundle or an epoch. ``other_controls``
    returns further internal addresses of control daemons. If the data folder is emptied while the process runs,
    ``on_data_lost`` is called; without it the process is stopped. ``failures_tolerated`` is the number of
    members that may be lost at the same time: the core then needs that many backups and twice as many members
    plus one (section 7.1).

    Each part owns its state and answers its messages; the parts that tests observe or replace are public.
    """

    def __init__(
        self,
        context: Context,
        messenger: Messenger,
        store: ControlStore,
        contents: Contents,
        appliers: Sequence[Applier],
        seeds: Sequence[Address],
        knows_of_history: Callable[[], bool] = lambda: False,
        other_controls: Callable[[], Sequence[Address]] = lambda: (),
        options: ControlOptions | None = None,
        on_data_lost: Callable[[], None] | None = None,
        failures_tolerated: int = 1,
    ) -> None:
        identity = messenger.identity
        if identity.incarnation != store.incarnation:
            raise ValueError("the messenger's identity must carry the store's incarnation")
        self._context = context
        self._messenger = messenger
        options = options or ControlOptions()
        clock, size = context.clock, ClusterSize(failures_tolerated)
        own = ViewMember(store.incarnation, identity.name, identity.internal)
        # What all roles share.
        self._changes = changes = ChangeSignal()
        self.replica = replica = Replica(appliers, contents)
        self.peers = peers = PeerClient(messenger, clock, options.call_timeout)
        self._state = state = MemberState(context, own, store.view, store.prepared, options, changes)
        self.leadership = leadership = OwnLeadership(context, options, state, replica, peers, changes)
        self.guarded = guarded = GuardedStore(
            context, store, replica, options, state, leadership, changes, on_data_lost
        )
        rewriter = JournalRewriter(context, store, replica, options.journal, guarded.mark_faulty)
        self._directory = directory = ControlDirectory(context, state, leadership, seeds, other_controls)
        self._health = HealthReporter(clock, options, size, guarded, state, leadership)
        # What a member does for candidates and primaries.
        self.backup = backup = Backup(context, options.journal, guarded, replica, state, leadership, rewriter)
        self.acceptor = acceptor = Acceptor(context, guarded, state, leadership, backup)
        self.monitor = monitor = PrimaryMonitor(clock, options, guarded, state, leadership, backup, knows_of_history)
        # What a primary does.
        self.planner = planner = ViewPlanner(own, options, size)
        self.replicator = replicator = Replicator(context, options, peers, store, replica, state, leadership)
        heartbeats = Heartbeats(context, options, peers, replica, state, leadership, changes)
        self.candidate = candidate = Candidate(context, guarded, state, peers)
        self.primary = primary = Primary(
            context, options, store, replica, state, leadership, changes, candidate, replicator, heartbeats, planner
        )
        self.confirmation = LeadershipConfirmation(context, options, peers, store, replica, state, leadership)
        runner = BatchRunner(clock, size, guarded, replica, leadership, replicator, rewriter)
        self._commands = CommandQueue(clock, options, messenger, state, leadership, changes, runner, appliers)
        # What a daemon does that is not a member, or does not hear its primary.
        formation = FirstViewFormation(context, size, peers, state, directory, monitor, acceptor, candidate, primary)
        joining = Joining(options, peers, store, state, directory, formation)
        self.failover = failover = Failover(
            context, options, peers, guarded, replica, state, leadership, candidate, primary
        )
        self._follower = Follower(context, options, guarded, replica, state, leadership, primary, joining, failover)

    # -- start and stop

    def start(self) -> None:
        """Answers the messages of other daemons, and starts the tasks of this one."""
        for part in (self.monitor, self.acceptor, self.backup, self._directory, self._commands):
            part.register(self._messenger)
        spawn = self._context.tasks.spawn
        spawn("control follow", self._follower.run())
        spawn("control commands", self._commands.run())
        spawn("control confirmations", self.confirmation.run())
        spawn("control disk check", self.guarded.watch())

    def release_leadership(self) -> None:
        """Called before a planned stop: stops leading and asks the other members to fail over at once."""
        self._state.stop()
        self.leadership.step_down("stopping")

    # -- the interface for other packages

    def leads(self) -> bool:
        """Whether this daemon is primary and a majority of the members confirmed it recently."""
        return self.leadership.leads()

    def epoch(self) -> Epoch:
        """Returns the epoch of the latest known view; 0 when none is known."""
        return self._state.epoch()

    def primary_address(self) -> Address | None:
        """Returns the internal address of the presumed primary."""
        return self._state.primary_address()

    def control_addresses(self) -> Sequence[Address]:
        """Returns the addresses of all control daemons known here, that of the presumed primary first."""
        return self._directory.control_addresses()

    async def decide(self, kind: str, command: msgspec.Struct, timeout: Seconds | None = None) -> Answer:
        """As in ``ControlCore``; ``timeout`` may shorten the limit on the time to decide."""
        return await self._commands.decide(kind, command, timeout)

    async def confirm_leadership(self) -> bool:
        """Whether a majority confirmed, in an exchange started after this call, that no other daemon leads."""
        return await self.confirmation.confirm()

    def report(self) -> ViewReport:
        """Returns what the health report says about the view and the role of this daemon."""
        return self._health.report()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Calls back after each change of the known view, of the own role or of the state of the disk."""
        self._changes.subscribe(callback)

    def on_commit(self, callback: Callable[[], None]) -> None:
        """Calls back on primary and backups after each advance, when the appliers hold exactly the committed state."""
        self.replica.on_commit(callback)
