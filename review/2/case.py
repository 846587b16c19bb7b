"""A planned stop of a gateway while requests wait in it for a free slot.

Two replicas with two slots each run calls of 4 s; clients send eight requests a
second from 2 s before the SIGTERM until 2.9 s after it, each on a connection that
it has kept from an earlier request. See claim.txt.
"""
import asyncio
import os
import shutil
import signal
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *  # noqa: E402,F403

FOLDER = os.path.dirname(os.path.abspath(__file__))
WORK_MS = 4000
TIMEOUT_MS = 15000
GRACE_S = 8
LOSS_SLACK_S = 0.2
REQUESTS_PER_S = 8
BEFORE_STOP_S = 2.0
AFTER_STOP_S = 2.9


class Case:
    def __init__(self, temporary):
        self.record = Record(os.path.join(FOLDER, "record.txt"))
        self.temporary = temporary
        self.results = []  # (attempt, sent, ended, status)
        self.stop_at = None
        self.gateway = None
        self.received = set()  # requests that reached a replica

    async def send(self, connection, work_ms):
        return await connection.send("POST", "/render/a", "app.example", "key-a",
                                     json.dumps({"work_ms": work_ms}).encode(), TIMEOUT_MS)

    async def client(self, number, begin):
        """Opens a connection and sends a short request, later the one that counts."""
        connection = Connection(self.record, "client-%d" % number)
        await asyncio.sleep(0.03 * number)
        await connection.open(self.gateway.host, self.gateway.ports[0])
        _, status, _, _ = await self.send(connection, 5)
        if status != 200 or connection.writer is None:
            raise RuntimeError("the first request of client %d got %s" % (number, status))
        await asyncio.sleep(begin + number / REQUESTS_PER_S - now())
        sent = now()
        attempt, status, _, _ = await self.send(connection, WORK_MS)
        self.results.append((attempt, sent, now(), status))
        connection.close()

    async def play(self):
        store = Store()
        await store.start()
        replicas = [Replica(store, self.record, "renderer", zone, slots=2) for zone in ("z1", "z2")]
        for each in replicas:
            each.on_received = self.received.add
            await each.start()
        store.put("op/config", configuration(
            3, [route("render", "/render/", "non_idempotent", "renderer", TIMEOUT_MS, 10000)], ["renderer"],
            [{"name": "tenant-a", "apiKeys": ["key-a"], "priority": 1}]))
        hosts = loopback_hosts(1)
        self.gateway = Gateway(self.temporary, "127.0.0.1:%d" % store.port, "edge-z1-1", hosts[0], hosts)
        set_peer_ports([self.gateway])
        self.gateway.start()
        await self.gateway.wait_ready()
        await asyncio.sleep(3.5)
        count = int((BEFORE_STOP_S + AFTER_STOP_S) * REQUESTS_PER_S) + 1
        begin = now() + 0.03 * count + 0.5
        tasks = [asyncio.create_task(self.client(i, begin)) for i in range(count)]
        await asyncio.sleep(begin - now())
        await asyncio.sleep(BEFORE_STOP_S)
        self.stop_at = now()
        if has_trouble():
            self.record.add("sigterm", gateway=self.gateway.name)
            self.gateway.signal(signal.SIGTERM)
            tasks.append(asyncio.create_task(self.watch_end()))
        await asyncio.gather(*tasks)

    async def watch_end(self):
        while self.gateway.process.poll() is None and now() - self.stop_at < GRACE_S:
            await asyncio.sleep(0.01)
        if self.gateway.process.poll() is None:
            self.record.add("sigkill", gateway=self.gateway.name)
            self.gateway.end()
        self.record.add("gateway-ended", code=self.gateway.process.poll(), after_s="%.2f" % (now() - self.stop_at))

    def judge(self):
        """LOST: around a SIGTERM a connection ends without an answer. A request that
        has reached a replica counts as excused here, whether it ran or waited there."""
        broken = 0
        for attempt, sent, ended, status in self.results:
            if status > 0:
                continue
            held = ended - sent
            is_excused = attempt in self.received or held >= TIMEOUT_MS / 1000 or held <= LOSS_SLACK_S
            self.record.add("unanswered", id=attempt, sent_after_stop_s="%.2f" % (sent - self.stop_at),
                            held_s="%.2f" % held, reached_replica=attempt in self.received, excused=is_excused)
            broken += 0 if is_excused else 1
        return broken


def main():
    end_on_sigterm()
    temporary = tempfile.mkdtemp()
    case = Case(temporary)
    code = 2
    try:
        asyncio.run(asyncio.wait_for(case.play(), 100))
        broken = case.judge()
        answered = sum(1 for each in case.results if each[3] == 200)
        code = 1 if broken else 0
        print("%d requests, %d served, %d ended without an answer against the rule" % (len(case.results), answered, broken))
    except Exception as failure:  # The case could not run.
        print("could not run: %r" % failure)
    finally:
        if case.gateway:
            case.gateway.end()
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)


main()
