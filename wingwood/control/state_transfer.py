"""The whole state on its way to a new backup, in pieces (docs/DESIGN.md section 7.2)."""

from __future__ import annotations

import zlib
from collections.abc import Iterator

import msgspec

from ..identifiers import Epoch, Incarnation
from .messages import ControlStatePiece

ZLIB_LEVEL = 1
"""The fastest: a state is mostly slices, which are repetitive text."""


class Transfer(msgspec.Struct, frozen=True):
    """One sending of the state; ``number`` counts the sender's transfers."""

    sender: Incarnation
    epoch: Epoch
    number: int


def split_state(
    state: bytes, to: Incarnation, transfer: Transfer, piece_bytes: int, packed: bool = False
) -> Iterator[ControlStatePiece]:
    """The encoded state in pieces of at most that size; at least one piece."""
    data = zlib.compress(state, ZLIB_LEVEL) if packed else state
    count = max(1, -(-len(data) // piece_bytes))
    for index in range(count):
        part = data[index * piece_bytes : (index + 1) * piece_bytes]
        yield ControlStatePiece(to, transfer.sender, transfer.epoch, transfer.number, index, count, part, packed)


class StateReceiver:
    """Puts the pieces of one transfer together. A piece of another transfer drops what came of the one before."""

    def __init__(self) -> None:
        self._current: Transfer | None = None
        self._pieces: dict[int, bytes] = {}
        self._taken = Transfer(Incarnation(""), Epoch(0), 0)
        """The newest one taken; an older one of the same sender and epoch may arrive late."""

    def is_outdated(self, transfer: Transfer) -> bool:
        taken = self._taken
        same_origin = (taken.sender, taken.epoch) == (transfer.sender, transfer.epoch)
        return same_origin and transfer.number < taken.number

    def add(self, piece: ControlStatePiece) -> bytes | None:
        """The whole encoded state once all its pieces are here."""
        transfer = transfer_of(piece)
        if self._current != transfer:
            self._current, self._pieces = transfer, {}
        self._pieces[piece.index] = piece.data
        if len(self._pieces) < piece.count:
            return None
        pieces = self._pieces
        self._current, self._pieces = None, {}
        data = b"".join(pieces[index] for index in range(piece.count))
        return zlib.decompress(data) if piece.packed else data

    def note_taken(self, transfer: Transfer) -> None:
        self._taken = transfer


def transfer_of(piece: ControlStatePiece) -> Transfer:
    return Transfer(piece.sender, piece.epoch, piece.transfer)
