"""The part of one control daemon in the control core (docs/DESIGN.md section 7)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Literal

from ..context.protocols import Context
from ..identifiers import Address
from ..transport.messenger import Messenger
from .command_intake import CommandIntake
from .control_options import ControlOptions
from .follower import Follower
from .leadership import Leadership
from .leadership_proofs import LeadershipProofs
from .member import MemberSetup
from .messages import (
    ControlAccept,
    ControlCommand,
    ControlCommitted,
    ControlConfirm,
    ControlHeartbeat,
    ControlJoin,
    ControlLeaderQuery,
    ControlLeadershipReleased,
    ControlPrepare,
    ControlReplicate,
    ControlStateChunk,
    ControlStatusQuery,
)
from .protocols import Applier, ViewReport
from .store import Contents, ControlStore

OwnRole = Literal["primary", "backup", "witness", "spare", "candidate"]


class ReplicatedCore(Follower, CommandIntake, LeadershipProofs):
    """A ``ControlCore`` that is primary, backup or witness, depending on the current view.

    ``store`` and ``contents`` come from ``open_store``; the messenger's identity must carry
    ``store.incarnation``. ``knows_of_history`` returns whether any daemon known here has seen a bundle or
    an epoch. ``other_controls`` returns further internal addresses of control daemons. If the data folder is
    emptied while the process runs, ``on_data_lost`` is called; without it the process is stopped.
    ``failures_tolerated`` is the number of members that may be lost at the same time: the core then wants that
    many backups and twice as many members plus one (section 7.1).
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
        if messenger.identity.incarnation != store.incarnation:
            raise ValueError("the messenger's identity must carry the store's incarnation")
        super().__init__(
            MemberSetup(
                context=context,
                messenger=messenger,
                store=store,
                contents=contents,
                appliers=appliers,
                seeds=seeds,
                knows_of_history=knows_of_history,
                other_controls=other_controls,
                options=options or ControlOptions(),
                on_data_lost=on_data_lost,
                failures_tolerated=failures_tolerated,
            )
        )

    # -- start and stop

    def start(self) -> None:
        self._answer_calls()
        spawn = self._context.tasks.spawn
        spawn("control follow", self._follow())
        spawn("control commands", self._run_commands())
        spawn("control confirmations", self._run_proofs())
        spawn("control disk check", self._check_disk())

    def _answer_calls(self) -> None:
        messenger = self._messenger
        messenger.on_call(ControlStatusQuery, self._on_status_query)
        messenger.on_call(ControlPrepare, self._on_promise)
        messenger.on_call(ControlAccept, self._on_accept)
        messenger.on_call(ControlHeartbeat, self._on_heartbeat)
        messenger.on_call(ControlReplicate, self._on_replicate)
        messenger.on_call(ControlStateChunk, self._on_state_chunk)
        messenger.on_call(ControlConfirm, self._on_confirm)
        messenger.on_call(ControlJoin, self._on_join)
        messenger.on_call(ControlCommand, self._on_command)
        messenger.on_call(ControlLeaderQuery, self._on_leader_query)
        messenger.on_post(ControlCommitted, self._on_committed)
        messenger.on_post(ControlLeadershipReleased, self._on_leadership_released)

    def release_leadership(self) -> None:
        """Called before a planned stop: stops leading and asks the other members to take over at once."""
        self._stopped = True
        if self._leadership is not None:
            self._step_down("stopping")

    # -- health report

    def report(self) -> ViewReport:
        leadership, view = self._leadership, self._known_view
        accepts = leadership is not None and self._accepts_orders(leadership) and self.leads()
        complete = (
            leadership is not None
            and accepts
            and all(self._follows(leadership, member) for member in self._other_members(leadership.view))
        )
        details = [f"disk: {self._disk_fault}"] if self._disk_fault is not None else []
        if leadership is not None and not complete:
            details += self._shortcomings(leadership)
        return ViewReport(
            epoch=self.epoch(),
            own_role=self._own_role(),
            primary=view.primary if view is not None else None,
            backups=view.backups if view is not None else (),
            members=view.incarnations() if view is not None else (),
            accepts_orders=accepts,
            complete=complete,
            detail="; ".join(details),
        )

    def _own_role(self) -> OwnRole:
        if self._leadership is not None:
            return "primary"
        if self._known_view is None or self._known_view.member(self._own_incarnation) is None:
            return "spare"
        if self._candidate:
            return "candidate"
        return "backup" if self._own_incarnation in self._known_view.backups else "witness"

    def _shortcomings(self, leadership: Leadership) -> list[str]:
        """Describes for the operator what the view lacks."""
        found = []
        if not leadership.in_sync:
            found.append("too few backups in sync")
        short = self._desired_member_count - len(leadership.view.members)
        if short > 0:
            found.append(f"{short} more members with a disk are wanted")
        missing = [
            str(member.name)
            for member in self._other_members(leadership.view)
            if not self._member_is_live(leadership, member)
        ]
        if missing:
            found.append(f"not answering: {', '.join(missing)}")
        return found
