"""Member lists: digests, numbered changes and buckets (docs/DESIGN.md section 8.2)."""

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
        """Two lists with the same members must have the same digest, in whatever order the members came and went."""
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

    def test_changes_update_a_copy_or_are_refused(self) -> None:
        """Changes in limited answers must make a copy equal to the list; too old positions must be refused."""
        random = Random(5)
        original, copy, known = MemberList(max_retained_changes=50), MemberList(), 0
        refused = 0
        for _ in range(400):
            for _ in range(random.randrange(30)):
                number = random.randrange(40)
                original.put(daemon(number)) if random.random() < 0.6 else original.drop(daemon(number).incarnation)
            if original.changes_since(known) is None:
                refused += 1
                copy, known = MemberList(), original.sequence
                for identity in original.identities():
                    copy.put(identity)
            elif random.random() < 0.5:
                continue
            while known < original.sequence:
                changes = original.changes_since(known, limit=7)
                assert changes is not None
                self.assertLessEqual(len(changes.joined) + len(changes.left), 7)
                for identity in changes.joined:
                    copy.put(identity)
                for incarnation in changes.left:
                    copy.drop(incarnation)
                known = changes.last_sequence
            self.assertEqual(sorted(copy.incarnations()), sorted(original.incarnations()))
            self.assertEqual(copy.digest, original.digest)
        self.assertGreater(refused, 0)
        self.assertLess(refused, 400)

    def test_later_sequence_is_refused(self) -> None:
        """A sequence number above the list's own cannot be of this list, so no changes follow from it."""
        members = MemberList()
        members.put(daemon(1))
        self.assertIsNone(members.changes_since(7))

    def test_few_differences_affect_few_buckets(self) -> None:
        """Two differences among a thousand members must require the transfer of only a few members."""
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
