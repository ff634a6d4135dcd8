"""What all formats of calls to workers have in common (docs/DESIGN.md section 12.1)."""

from __future__ import annotations

from collections.abc import Sequence

from ..context.protocols import HttpRequest
from ..registry.protocols import Worker
from .http_headers import end_to_end
from .protocols import IncomingCall

Header = tuple[str, str]


def request_to_worker(
    call: IncomingCall,
    worker: Worker,
    own: Sequence[Header],
    ours: frozenset[str],
    last_event: str,
    echo: Header | None = None,
) -> HttpRequest:
    """The caller's call with the router's headers ``own``, without the caller's that are in ``ours`` (lower case).

    A stream that is continued tells its last event in the header ``last_event``. ``echo``: see ``HttpRequest``.
    """
    added, dropped = [*own], ours
    if call.progress is not None and call.progress.last_event is not None:
        added.append((last_event, str(call.progress.last_event)))
        dropped = ours | {last_event.lower()}
    return HttpRequest(
        method=call.method,
        address=worker.address,
        path=call.path,
        headers=(*end_to_end(call.headers, dropped), *added),
        body=call.body,
        echo=echo,
    )
