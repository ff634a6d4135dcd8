"""What is fixed from the start of an attempt on."""

from __future__ import annotations

import msgspec

from ...bundle.model import Service
from ...identifiers import Instant
from ...placement.protocols import Choice
from ..calls import AttemptState, IncomingCall


class AttemptParameters(msgspec.Struct, frozen=True, kw_only=True):
    """The call, the chosen worker and the time limits of one attempt."""

    call: IncomingCall
    state: AttemptState
    """The part of the call that describes this attempt."""
    service: Service
    started_at: Instant
    first_byte_deadline: Instant
    """By when a caller that was sent nothing must be answered."""
    resumes: bool
    """Whether the caller already has the start of the stream from another worker."""

    @property
    def choice(self) -> Choice:
        """The chosen worker, with the predicted time to its first token."""
        return self.state.choice
