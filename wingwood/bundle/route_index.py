"""Finds the routes of a call by host and path, however many routes there are (docs/DESIGN.md section 5.7)."""

from __future__ import annotations

from collections.abc import Collection, Generator, Iterable, Iterator, Mapping

import msgspec

from .gradual import at_once
from .problem import BundleProblem, BundleProblemError
from .route import Route

ROUTES_PER_STEP = 1_000
ANY_HOST = ""

_Prefixes = Mapping[str, tuple[Route, ...]]
"""Routes of one host by path prefix, sorted by name; those of one prefix take different methods."""


class RouteIndex(msgspec.Struct, frozen=True):
    """A change shares with its origin the tables of all hosts that it does not touch."""

    hosts: Mapping[str, _Prefixes] = {}

    @staticmethod
    def of(routes: Iterable[Route]) -> RouteIndex:
        return at_once(RouteIndex().changed((), list(routes)))

    def is_empty(self) -> bool:
        return not self.hosts

    def find(self, host: str, path: str) -> tuple[Route, ...]:
        """The routes of the longest prefix that the path begins with: those of ``host``, else those of any host.

        ``host`` as callers send it: its case and port don't count. A prefix ends where a part of the path does.
        Looks once or twice at each slash of the path.
        """
        for table in (self.hosts.get(plain_host(host)), self.hosts.get(ANY_HOST)):
            if table is not None:
                for prefix in _prefixes_of(path):
                    found = table.get(prefix)
                    if found is not None:
                        return found
        return ()

    def changed(self, removed: Collection[Route], added: Collection[Route]) -> Generator[None, None, RouteIndex]:
        """In steps. Two routes that take the same calls raise the package's private problem."""
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
    """Lower case, without a port."""
    name, colon, port = host.rpartition(":")
    return (name if colon and (port.isdigit() or not port) else host).lower()


def _prefixes_of(path: str) -> Iterator[str]:
    """All prefixes of the path that end with one of its parts, the longest first."""
    end = len(path)
    if not path.endswith("/"):
        yield path
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        if end:
            yield path[:end]


def _check_no_overlap(route: Route, others: Collection[Route]) -> None:
    for other in others:
        shared = sorted(set(route.methods) & set(other.methods))
        if shared:
            at = f" at {route.host}" if route.host else ""
            raise BundleProblemError(
                BundleProblem(
                    code="double",
                    slice=f"route/{route.name}",
                    field="path_prefix",
                    value=route.path_prefix,
                    remedy=f"route/{other.name} takes {shared[0]} of this prefix{at} already; change one of them",
                )
            )
