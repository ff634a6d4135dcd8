"""Finds the routes of a call by its host and path (docs/DESIGN.md section 5.7).

The time for a search depends on the path and not on the number of routes.
"""

from __future__ import annotations

from collections.abc import Collection, Generator, Iterable, Iterator, Mapping

import msgspec

from .errors import BundleCheckError, BundleError
from .gradual import at_once
from .route import Route

ROUTES_PER_STEP = 1_000
"""Routes added to or removed from an index before other tasks may run."""
ANY_HOST = ""
"""Key of the table of routes that apply to any host."""

_Prefixes = Mapping[str, tuple[Route, ...]]
"""Routes of one host by path prefix, sorted by name. Routes with the same prefix accept different methods."""


class RouteIndex(msgspec.Struct, frozen=True):
    """Routes by host and path prefix.

    An index made by ``changed`` shares the tables of all unchanged hosts with the index it was made from.
    """

    hosts: Mapping[str, _Prefixes] = {}

    @staticmethod
    def of(routes: Iterable[Route]) -> RouteIndex:
        """Builds the index of these routes; raises ``BundleCheckError`` when two of them accept the same calls."""
        return at_once(RouteIndex().changed((), list(routes)))

    def is_empty(self) -> bool:
        """Returns whether the index has no routes."""
        return not self.hosts

    def find(self, host: str, path: str) -> tuple[Route, ...]:
        """Returns the routes with the longest matching prefix: those of ``host``, else those for any host.

        ``host`` may be given as the caller sent it: its case and port are ignored. A prefix matches only up to the
        end of a segment of the path (``/v1/chat`` does not match ``/v1/chatter``). The search makes one or two
        look-ups for each slash of the path. The result is empty when no route matches.
        """
        for table in (self.hosts.get(plain_host(host)), self.hosts.get(ANY_HOST)):
            if table is not None:
                for prefix in _prefixes_of(path):
                    found = table.get(prefix)
                    if found is not None:
                        return found
        return ()

    def changed(self, removed: Collection[Route], added: Collection[Route]) -> Generator[None, None, RouteIndex]:
        """Returns, in steps, a new index without the ``removed`` and with the ``added`` routes.

        Raises ``BundleCheckError`` when an added route accepts the same calls as another one.
        """
        hosts = dict(self.hosts)
        copies: dict[str, dict[str, tuple[Route, ...]]] = {}

        def table_of(host: str) -> dict[str, tuple[Route, ...]]:
            if host not in copies:
                hosts[host] = copies[host] = dict(hosts.get(host, {}))
            return copies[host]

        for number, route in enumerate(removed):
            if number % ROUTES_PER_STEP == ROUTES_PER_STEP - 1:
                yield
            table = table_of(route.host)
            remaining = tuple(other for other in table[route.path_prefix] if other.name != route.name)
            if remaining:
                table[route.path_prefix] = remaining
            else:
                del table[route.path_prefix]
        for number, route in enumerate(added):
            if number % ROUTES_PER_STEP == ROUTES_PER_STEP - 1:
                yield
            table = table_of(route.host)
            others = table.get(route.path_prefix, ())
            _check_no_overlap(route, others)
            table[route.path_prefix] = tuple(sorted((*others, route), key=lambda each: each.name))
        return RouteIndex({host: table for host, table in hosts.items() if table})


def plain_host(host: str) -> str:
    """Returns the host in lower case and without its port."""
    name, colon, port = host.rpartition(":")
    return (name if colon and (port.isdigit() or not port) else host).lower()


def _prefixes_of(path: str) -> Iterator[str]:
    """Yields the prefixes of the path that end at the end of a segment, with and without a slash, the longest first."""
    end = len(path)
    if not path.endswith("/"):
        yield path
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        if end:
            yield path[:end]


def _check_no_overlap(route: Route, others: Collection[Route]) -> None:
    """Raises ``BundleCheckError`` when another route of the same host and prefix accepts a method of ``route``."""
    for other in others:
        shared = sorted(set(route.methods) & set(other.methods))
        if shared:
            at = f" at {route.host}" if route.host else ""
            raise BundleCheckError(
                BundleError(
                    code="double",
                    slice=f"route/{route.name}",
                    field="path_prefix",
                    value=route.path_prefix,
                    remedy=f"route/{other.name} takes {shared[0]} of this prefix{at} already; change one of them",
                )
            )
