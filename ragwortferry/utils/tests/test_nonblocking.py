"""A reader that stops reading never blocks the writer."""

import asyncio
import os

from ragwortferry.utils.nonblocking import MAX_BUFFERED_BYTES, NonblockingWriter


def test_lines_are_dropped_when_nobody_reads():
    async def scenario():
        reader, writer = os.pipe()
        output = NonblockingWriter(writer)
        line = "x" * 999 + "\n"
        for _ in range(5000):
            output.write(line)
        output.flush()
        assert output.dropped > 0
        taken = len(os.read(reader, 2**20))
        assert 0 < taken <= MAX_BUFFERED_BYTES
        os.close(reader)
        output.flush()
        output.write(line)
        output.flush()
        os.close(writer)

    asyncio.run(scenario())


def test_lines_arrive_complete_and_in_order():
    async def scenario():
        reader, writer = os.pipe()
        output = NonblockingWriter(writer)
        for number in range(100):
            output.write(f"{number}\n")
        output.flush()
        lines = os.read(reader, 2**16).decode().splitlines()
        assert lines == [str(number) for number in range(100)]
        os.close(reader)
        os.close(writer)

    asyncio.run(scenario())
