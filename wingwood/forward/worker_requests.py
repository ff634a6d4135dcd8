"""Building of requests to workers, shared by all worker formats (docs/DESIGN.md section 12.1)."""

from __future__ import annotations

from collections.abc import Sequence

from ..context.protocols import HttpRequest
from ..registry.protocols import Worker
from .calls import IncomingCall
from .http_headers import end_to_end

Header = tuple[str, str]
"""Name and value."""


def request_to_worker(
    call: IncomingCall,
    worker: Worker,
    router_headers: Sequence[Header],
    replaced_headers: frozenset[str],
    last_event: str,
    echo: Header | None = None,
) -> HttpRequest:
    """Builds the request that sends a call to a worker.

    ``router_headers`` are added, and the caller's headers named in ``replaced_headers`` (lower case) are left out.
    A stream that is resumed names the last event that its caller has in the header ``last_event``.
    ``echo`` is passed on to ``HttpRequest``.
    """
    added, dropped = [*router_headers], replaced_headers
    if call.progress is not None and call.progress.last_event is not None:
        added.append((last_event, str(call.progress.last_event)))
        dropped = replaced_headers | {last_event.lower()}
    return HttpRequest(
        method=call.request.method,
        address=worker.address,
        path=call.request.path,
        headers=(*end_to_end(call.request.headers, dropped), *added),
        body=call.request.body,
        echo=echo,
    )
