"""A loopback TCP proxy that harms the connections through it on demand."""

import asyncio


class Proxy:
    """Forwards connections to one target. Faults are set by attribute."""

    def __init__(self, address, port, target):
        self.address, self.port, self.target = address, port, target
        self.delay = 0.0          # seconds that each piece is held back
        self.cut_to = False       # bytes to the target are held up
        self.cut_back = False     # bytes from the target are held up
        self.refuses = False      # new connections are reset
        self.open = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.address, self.port)

    def heal(self):
        self.delay, self.cut_to, self.cut_back, self.refuses = 0.0, False, False, False

    def reset_all(self):
        for writer in list(self.open):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.open |= {writer, back_writer}
        pumps = [asyncio.create_task(self._pump(reader, back_writer, "cut_to")),
                 asyncio.create_task(self._pump(back_reader, writer, "cut_back"))]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            # A cut holds up the end of a connection as well.
            while self.cut_to or self.cut_back:
                await asyncio.sleep(0.02)
        except asyncio.CancelledError:
            pass                  # the run ends
        for pump in pumps:
            pump.cancel()
        for end in (writer, back_writer):
            end.close()
        self.open -= {writer, back_writer}

    async def _pump(self, reader, writer, cut):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while getattr(self, cut):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
