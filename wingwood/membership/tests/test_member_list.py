"""Digests, numbered changes and buckets (docs/DESIGN.md section 8.2)."""

from __future__ import annotations

import unittest
from random import Random

from ...identifiers import Address, DaemonName, Incarnation, Zone
from ...transport.frames import Identity
from ..member_list import MemberList, bucket_count


def daemon(number: int, port: int = 26000) -> Identity:
    return Identity(
        DaemonName(f"r{number}"), Incarnation(f"life-{number}"), "router", Zone("a"), Address("10.0.0.1", port)
    )


class MemberListTest(unittest.TestCase):
    def test_digest_depends_on_content_and_not_on_history(self) -> None:
        one, other = MemberList(), MemberList()
        for number in range(20):
            one.put(daemon(number))
        for number in reversed(range(25)):
            other.put(daemon(number))
        self.assertNotEqual(one.digest, other.digest)
        for number in range(20, 25):
            other.drop(daemon(number).incarnation)
        self.assertEqual(one.digest, other.digest)
        other.put(daemon(3, port=26001))
        self.assertNotEqual(one.digest, other.digest)

    def test_changes_bring_a_copy_up_to_date_or_are_refused(self) -> None:
        random = Random(5)
        master, copy, known = MemberList(max_retained_changes=50), MemberList(), 0
        refused = 0
        for _ in range(400):
            for _ in range(random.randrange(30)):
                number = random.randrange(40)
                master.put(daemon(number)) if random.random() < 0.6 else master.drop(daemon(number).incarnation)
            if master.changes_since(known) is None:
                refused += 1
                copy, known = MemberList(), master.sequence
                for identity in master.identities():
                    copy.put(identity)
            elif random.random() < 0.5:
                continue
            while known < master.sequence:
                changes = master.changes_since(known, limit=7)
                assert changes is not None
                self.assertLessEqual(len(changes.joined) + len(changes.left), 7)
                for identity in changes.joined:
                    copy.put(identity)
                for incarnation in changes.left:
                    copy.drop(incarnation)
                known = changes.last_sequence
            self.assertEqual(sorted(copy.incarnations()), sorted(master.incarnations()))
            self.assertEqual(copy.digest, master.digest)
        self.assertGreater(refused, 0)
        self.assertLess(refused, 400)

    def test_a_future_sequence_is_not_of_this_list(self) -> None:
        members = MemberList()
        members.put(daemon(1))
        self.assertIsNone(members.changes_since(7))

    def test_a_few_differences_touch_a_few_buckets(self) -> None:
        one, other = MemberList(), MemberList()
        for number in range(1000):
            one.put(daemon(number))
            if number not in (17, 500):
                other.put(daemon(number))
        count = bucket_count(len(one))
        pairs = zip(one.buckets(count), other.buckets(count), strict=True)
        differing = [index for index, (mine, its) in enumerate(pairs) if mine != its]
        self.assertEqual(len(differing), 2)
        names = {identity.name for identity in one.in_buckets(differing, count)}
        self.assertLessEqual({"r17", "r500"}, names)
        self.assertLess(len(names), 40)
