"""Bodies that are read more than once."""

import asyncio

import testtools
from hypothesis import given
from hypothesis import strategies as st
from testtools.matchers import Contains, Equals

from siskinlug.body import BodyCut, BodyStream

REPLAY_BYTES = 6


class SecondReadTest(testtools.TestCase):
    @given(
        st.lists(st.binary(min_size=1, max_size=4), max_size=5),
        st.integers(min_value=0, max_value=5),
        st.integers(min_value=0, max_value=5),
    )
    def test_each_read_yields_the_whole_body_or_fails(
        self, chunks: list[bytes], chunks_before: int, chunks_read: int
    ) -> None:
        """Guards against the rest of a body, or nothing, that passes for the whole.

        The first read begins after some chunks have arrived and stops after others.
        """

        async def main() -> bytes | None:
            body = BodyStream(replay_bytes=REPLAY_BYTES)
            for chunk in chunks[:chunks_before]:
                body.feed(chunk)
            first_read = body.chunks()
            for _ in range(chunks_read if chunks_before else 0):
                if body._unread:
                    await anext(first_read)
            for chunk in chunks[chunks_before:]:
                body.feed(chunk)
            body.finish()
            try:
                return b"".join([chunk async for chunk in body.chunks()])
            except BodyCut:
                return None

        self.assertThat([None, b"".join(chunks)], Contains(asyncio.run(main())))

    def test_body_within_the_limit_is_read_twice(self) -> None:
        """Guards against a body that can't be sent again although it is retained."""

        async def main() -> list[bytes]:
            body = BodyStream(replay_bytes=REPLAY_BYTES)
            body.feed(b"abc")
            body.finish()
            return [
                b"".join([chunk async for chunk in body.chunks()]) for _ in range(2)
            ]

        self.assertThat(asyncio.run(main()), Equals([b"abc", b"abc"]))
