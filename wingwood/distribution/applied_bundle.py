"""The bundle that a router applies to calls, confirmed as the latest or not (docs/DESIGN.md section 9)."""

from __future__ import annotations

from collections.abc import Callable, Collection

from returns.result import Success

from ..bundle.model import Bundle, BundleDelta
from ..bundle.parse import apply_delta_gradually
from ..bundle.variants import VariantTarget
from ..context.protocols import Context
from ..identifiers import BundleVersion, Instant, Seconds
from .deltas import DeltaChain
from .distribution_options import DistributionOptions

MAX_PENDING_CONFIRMATIONS = 64
"""The number of confirmations stored for versions that are not applied on this router yet."""


class AppliedBundle:
    """Implements ``BundleInForce`` on a router.

    Owns the verified bundle, the deltas that led to it and the confirmations that a version was the latest one.
    ``BundleFollower`` advances it.
    """

    def __init__(
        self,
        context: Context,
        variant_target: VariantTarget,
        operator_keys: Collection[str],
        removed_key_bound: Seconds | None,
        options: DistributionOptions | None = None,
    ) -> None:
        """Deltas must be signed with one of ``operator_keys``; slices are chosen for ``variant_target``.

        ``removed_key_bound`` is the longest time for which a removed key may be accepted; None for no bound.
        """
        self._context = context
        self._variant_target = variant_target
        self._operator_keys = frozenset(operator_keys)
        self._removed_key_bound = removed_key_bound
        self._options = options or DistributionOptions()
        self._bundle: Bundle | None = None
        self._chain = DeltaChain(self._options.max_deltas)
        self._callbacks: list[Callable[[Bundle], None]] = []
        self._confirmed_at: Instant | None = None
        """The latest instant at which the applied version was confirmed to be the latest one."""
        self._pending_confirmations: list[tuple[BundleVersion, Instant]] = []
        """Confirmations of versions that are not applied on this router yet."""

    def current(self) -> Bundle | None:
        """Returns the latest complete, verified bundle; its version never decreases."""
        return self._bundle

    def version(self) -> BundleVersion:
        """Returns the version of ``current``; 0 without a bundle."""
        return BundleVersion(0) if self._bundle is None else self._bundle.version

    def confirmed_latest_at(self) -> Instant | None:
        """Returns the latest instant of the own clock at which ``current`` was confirmed to be the latest bundle."""
        return self._confirmed_at

    def may_serve(self) -> bool:
        """Whether calls may be served; see ``BundleInForce``."""
        if self._bundle is None:
            return False
        if self._removed_key_bound is None:
            return True
        if self._confirmed_at is None:
            return False
        age = self._context.clock.monotonic() - self._confirmed_at
        return age <= self._removed_key_bound - self._options.confirmation_age_margin

    def on_change(self, callback: Callable[[Bundle], None]) -> None:
        """Registers ``callback`` to be called with each bundle that is applied."""
        self._callbacks.append(callback)

    def delta_since(self, version: BundleVersion) -> BundleDelta | None:
        """Returns the delta from ``version`` to ``current``; None when the stored deltas start after ``version``."""
        return self._chain.since(version)

    def record_confirmation(self, version: BundleVersion, confirmed_at: Instant) -> None:
        """Records that ``version`` was the latest at ``confirmed_at``.

        The confirmation counts once this version or a later one is applied.
        """
        if self.version() >= version:
            if self._confirmed_at is None or confirmed_at > self._confirmed_at:
                self._confirmed_at = confirmed_at
            return
        self._pending_confirmations = [
            pending
            for pending in self._pending_confirmations
            if not (pending[0] >= version and pending[1] <= confirmed_at)
        ]
        self._pending_confirmations.append((version, confirmed_at))
        del self._pending_confirmations[:-MAX_PENDING_CONFIRMATIONS]

    async def apply(self, delta: BundleDelta) -> bool:
        """Verifies ``delta`` and applies it, in steps between which other tasks run.

        Returns False when it was rejected, or when another version was applied in the meantime.
        """
        replaced_version = self.version()
        outcome = await apply_delta_gradually(self._bundle, delta, self._operator_keys, self._variant_target)
        if not isinstance(outcome, Success):
            problem = outcome.failure()
            if problem.code != "stale":
                self._context.log.event(
                    "bundle-rejected",
                    version=delta.manifest.version,
                    since=delta.since,
                    applied=replaced_version,
                    reason=str(problem),
                )
            return False
        if self.version() != replaced_version:
            return False
        self._replace(outcome.unwrap(), delta, replaced_version)
        return True

    def _replace(self, bundle: Bundle, delta: BundleDelta, replaced_version: BundleVersion) -> None:
        self._bundle = bundle
        self._chain.add(delta, replaced_version)
        for version, confirmed_at in self._pending_confirmations:
            if version <= bundle.version and (self._confirmed_at is None or confirmed_at > self._confirmed_at):
                self._confirmed_at = confirmed_at
        self._pending_confirmations = [
            pending for pending in self._pending_confirmations if pending[0] > bundle.version
        ]
        self._context.log.event("bundle-applied", version=bundle.version, since=replaced_version)
        for callback in self._callbacks:
            callback(bundle)
