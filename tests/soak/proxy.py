"""A loopback TCP proxy that injects faults into its connections on demand."""

import asyncio


class Proxy:
    """Forwards connections to one target. Faults are switched on by setting attributes."""

    def __init__(self, address, port, target):
        self.address, self.port, self.target = address, port, target
        self.delay = 0.0          # seconds that each chunk of data is delayed
        self.cut_to = False       # data to the target is held back
        self.cut_back = False     # data from the target is held back
        self.refuses = False      # new connections are reset
        self.open_writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.address, self.port)

    def stop_listening(self):
        if self.server:
            self.server.close()

    def clear_faults(self):
        self.delay, self.cut_to, self.cut_back, self.refuses = 0.0, False, False, False

    def reset_all(self):
        for writer in list(self.open_writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.open_writers |= {writer, target_writer}
        pumps = [asyncio.create_task(self._pump(reader, target_writer, "cut_to")),
                 asyncio.create_task(self._pump(target_reader, writer, "cut_back"))]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            # While data is held back, the end of the connection is held back too.
            while self.cut_to or self.cut_back:
                await asyncio.sleep(0.02)
        except asyncio.CancelledError:
            pass                  # the event loop is shutting down
        for pump in pumps:
            pump.cancel()
        for open_writer in (writer, target_writer):
            open_writer.close()
        self.open_writers -= {writer, target_writer}

    async def _pump(self, reader, writer, cut_attribute):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while getattr(self, cut_attribute):
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
