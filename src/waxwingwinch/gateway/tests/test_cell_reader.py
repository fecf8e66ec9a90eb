"""Tests of reading another cell, without a network."""

import asyncio
from typing import Any

from attrs import define, field

from waxwingwinch._types import ZoneName
from waxwingwinch.gateway._cell_reader import CellReader
from waxwingwinch.gateway._cells import Cell
from waxwingwinch.gateway._digest_packing import pack_digest
from waxwingwinch.gateway._report_messages import Digest, DigestRequest
from waxwingwinch.gateway.tests.fakes import FakeClock
from waxwingwinch.gateway.tests.test_cells import make_members

FIRST, SECOND, THIRD = make_members(3)


@define
class FakeLink:
    """A link that does something before each answer, and counts digests."""

    before_answers: list[Any]
    asked: list[DigestRequest] = field(factory=list)

    async def request(self, body, timeout_seconds):
        self.asked.append(body)
        if not self.before_answers:
            raise asyncio.CancelledError
        self.before_answers.pop(0)()
        return pack_digest(Digest(len(self.asked), ()))


def test_a_change_of_the_cell_while_a_digest_is_awaited_has_all_told_anew():
    """Pattern: instances start while other cells are read."""

    def change():
        reader.follow((FIRST, THIRD))

    link: Any = FakeLink([lambda: None, change, lambda: None])
    hub: Any = None
    reader = CellReader(
        hub,
        Cell(ZoneName("z0"), 0),
        (FIRST, SECOND),
        dict,
        lambda digest, member, link: None,
        FakeClock(),
    )

    async def read():
        try:
            await reader._read(FIRST, link)
        except asyncio.CancelledError:
            return

    asyncio.run(read())
    assert [request.number for request in link.asked] == [0, 1, 0, 3]
