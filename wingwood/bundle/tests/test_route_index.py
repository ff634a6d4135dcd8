"""Tests of finding the route of a call by host and path (docs/DESIGN.md section 5.7)."""

from __future__ import annotations

import time
import unittest
from collections.abc import Sequence

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ...identifiers import ServiceName
from ..errors import BundleCheckError
from ..gradual import at_once
from ..parse import empty_bundle
from ..route import Route
from ..route_index import RouteIndex, plain_host

CHAT = ServiceName("chat")


def route(name: str, host: str, prefix: str, methods: tuple[str, ...] = ("POST",)) -> Route:
    return Route(name=name, host=host, path_prefix=prefix, service=CHAT, methods=methods)


def names(found: Sequence[Route]) -> list[str]:
    return [each.name for each in found]


class RouteSearchTest(unittest.TestCase):
    """Guards against calls that reach the wrong service, and against searches that slow down with many routes."""

    def setUp(self) -> None:
        self.routes = [
            route("root", "a.example", "/"),
            route("deep", "a.example", "/v1/chat/"),
            route("bare", "a.example", "/v1/chat", ("GET", "POST")),
            route("fallback", "", "/v1/"),
            route("get", "", "/v2", ("GET",)),
            route("post", "", "/v2", ("POST",)),
        ]
        self.index = RouteIndex.of(self.routes)

    def test_the_longest_prefix_of_the_host_wins_over_any_host(self) -> None:
        for host, path, expected in (
            ("a.example", "/v1/chat/more", ["deep"]),
            ("A.Example:8080", "/v1/chat/", ["deep"]),
            ("a.example", "/v1/chat", ["bare"]),
            ("a.example", "/v1/chatter", ["root"]),
            ("a.example", "/v2", ["root"]),
            ("b.example", "/v1/chat", ["fallback"]),
            ("b.example", "/v1", []),
            ("b.example", "/v2/x", ["get", "post"]),
            ("b.example", "/v20", []),
            ("", "/v1/x", ["fallback"]),
            ("a.example", "", []),
        ):
            self.assertEqual(names(self.index.find(host, path)), expected, (host, path))

    def test_find_route_prefers_a_route_that_accepts_the_method(self) -> None:
        bundle = msgspec.structs.replace(empty_bundle(), routes=tuple(self.routes))
        found = [bundle.find_route("b.example", "/v2/x", method) for method in ("GET", "POST", "PUT")]
        self.assertEqual([each.name for each in found if each is not None], ["get", "post", "get"])
        self.assertIsNone(bundle.find_route("b.example", "/none", "GET"))

    def test_case_and_port_of_hosts_are_removed(self) -> None:
        for sent, plain in (
            ("A.example", "a.example"),
            ("a.example:", "a.example"),
            ("[::1]:80", "[::1]"),
            ("[::1]", "[::1]"),
            ("10.0.0.1:8080", "10.0.0.1"),
        ):
            self.assertEqual(plain_host(sent), plain)

    def test_changed_index_leaves_the_original_unchanged(self) -> None:
        after = at_once(self.index.changed([self.routes[1]], [route("new", "c.example", "/")]))
        self.assertEqual(names(after.find("a.example", "/v1/chat/more")), ["bare"])
        self.assertEqual(names(after.find("c.example", "/x")), ["new"])
        self.assertEqual(names(self.index.find("a.example", "/v1/chat/more")), ["deep"])
        self.assertEqual(self.index.find("c.example", "/x"), ())

    def test_routes_that_accept_the_same_calls_are_refused(self) -> None:
        with self.assertRaises(BundleCheckError) as refused:
            at_once(self.index.changed([], [route("other", "a.example", "/v1/chat", ("PUT", "GET"))]))
        error = refused.exception.error
        self.assertEqual((error.code, error.slice), ("double", "route/other"))
        self.assertIn("route/bare takes GET", error.remedy)

    def test_search_time_does_not_grow_with_the_number_of_routes(self) -> None:
        few = RouteIndex.of([route(f"r{number}", "a.example", f"/p{number}/") for number in range(10)])
        many = RouteIndex.of([route(f"r{number}", "a.example", f"/p{number}/") for number in range(10_000)])

        def best(index: RouteIndex) -> float:
            times = []
            for _ in range(20):
                started = time.perf_counter()
                for _ in range(200):
                    index.find("a.example", "/p7/x/y")
                times.append(time.perf_counter() - started)
            return min(times)

        self.assertEqual(names(many.find("a.example", "/p9999/x")), ["r9999"])
        self.assertLess(best(many), 10 * best(few))


hosts = st.sampled_from(["", "h", "i"])
prefixes = st.sampled_from(["/", "/a", "/a/", "/a/b", "/a/b/", "/ab", "/ab/"])
tables = st.dictionaries(st.sampled_from("pqrstu"), st.tuples(hosts, prefixes), max_size=6)
paths = st.lists(st.sampled_from(["a", "b", "ab", ""]), max_size=4).map(lambda parts: "/" + "/".join(parts))


def apart(table: dict[str, tuple[str, str]]) -> list[Route]:
    """Returns the routes of the table, without those that would accept the calls of another one."""
    taken = {place: name for name, place in sorted(table.items(), reverse=True)}
    return [route(name, *place) for place, name in taken.items()]


def scanned(routes: Sequence[Route], host: str, path: str) -> list[str]:
    """Returns the names of the routes found by a linear search, as the reference for the index."""
    for route_host in dict.fromkeys((host, "")):
        fitting = [
            each
            for each in routes
            if each.host == route_host
            and (
                path == each.path_prefix
                or path.startswith(each.path_prefix if each.path_prefix.endswith("/") else each.path_prefix + "/")
            )
        ]
        if fitting:
            return [max(fitting, key=lambda each: len(each.path_prefix)).name]
    return []


class AnyTableTest(unittest.TestCase):
    """Guards against an index that differs from a linear search, or that depends on whether it was built or changed."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(tables, tables, hosts, paths)
    def test_found_as_by_a_scan_and_the_same_by_change_as_whole(
        self, before: dict[str, tuple[str, str]], after: dict[str, tuple[str, str]], host: str, path: str
    ) -> None:
        current, target_routes = apart(before), apart(after)
        index = at_once(
            RouteIndex.of(current).changed(
                [each for each in current if each not in target_routes],
                [each for each in target_routes if each not in current],
            )
        )
        self.assertEqual(index, RouteIndex.of(target_routes))
        self.assertEqual(names(index.find(host, path)), scanned(target_routes, host, path))


if __name__ == "__main__":
    unittest.main()
