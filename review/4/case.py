"""All machines of a small fleet are lost without a SIGTERM, and others take their place.

Three gateways serve a tenant below its limit. All three lose power for good at the
same moment, and three new machines are added at new addresses. At the end all
processes are killed and start again. See claim.txt.
"""
import asyncio
import os
import random
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (Connection, Gateway, Record, Replica, Store, configuration, end_on_sigterm, has_trouble,  # noqa: E402
                      loopback_hosts, now, route, set_peer_ports)

FOLDER = os.path.dirname(os.path.abspath(__file__))
RATE_PER_S = 77261  # tokens; the burst is as large
TOKENS = 3000  # of each request
REQUESTS_PER_S = 18  # 54,000 tokens a second, 0.7 of the limit
RECOVER_S = 12
SETTLE_S = 8  # from the start to the first request
LOSS_AT_S, ADD_AT_S, FINAL_AT_S, DOWN_S, WATCH_S = 15.0, 16.0, 45.0, 0.9, 25.0


class Case:
    def __init__(self, temporary):
        self.record = Record(os.path.join(FOLDER, "record.txt"))
        self.temporary = temporary
        self.gateways = []
        self.misses = {}
        self.results = []  # (sent, status)

    def create(self, hosts, store):
        for number, host in enumerate(hosts):
            name = "edge-z%d-%d" % (1 + number % 2, number + 1)
            self.gateways.append(Gateway(self.temporary, "127.0.0.1:%d" % store.port, name, host, hosts[:3],
                                         zone="z%d" % (1 + number % 2)))
        set_peer_ports(self.gateways)
        control = self.gateways[0].ports[2]
        for each in self.gateways:
            each.ports = (each.ports[0], each.ports[1], control)

    async def balance(self):
        """Asks each gateway once a second whether it is ready; two misses take it out."""
        while True:
            for each in self.gateways:
                if each.process:
                    self.misses[each.name] = 0 if await each.is_ready() else self.misses.get(each.name, 2) + 1
            await asyncio.sleep(1)

    async def send(self, number):
        ready = [each for each in self.gateways if self.misses.get(each.name, 2) < 2]
        sent, status = now(), "no-gateway"
        if ready:
            gateway = random.choice(ready)
            connection = Connection(self.record, "client-%d@%s" % (number, gateway.name))
            try:
                await connection.open(gateway.host, gateway.ports[0])
                _, status, _, _ = await connection.send(
                    "GET", "/page/a", "app.example", "key-a", b"", 3000, {"Token-Counts": "%d,200" % (TOKENS - 200)})
            except OSError:
                status = "not-connected"
            connection.close()
        self.results.append((sent, status))

    async def load(self, end):
        tasks, number, begin = [], 0, now()
        while now() < end:
            tasks.append(asyncio.create_task(self.send(number)))
            number += 1
            await asyncio.sleep(max(0, begin + number / REQUESTS_PER_S - now()))
        await asyncio.gather(*tasks)

    def lose(self, gateways, reason):
        for each in gateways:
            self.record.add("sigkill", gateway=each.name, reason=reason)
            each.end()

    async def until(self, at):
        await asyncio.sleep(max(0, at - now()))

    async def play(self):
        store = Store()
        await store.start()
        for zone in ("z1", "z2", "z1", "z2"):
            await Replica(store, self.record, "pages", zone, slots=6).start()
        store.put("op/config", configuration(
            3, [route("page", "/page/", "idempotent", "pages", 1500, 300, attempts=2)], ["pages"],
            [{"name": "tenant-a", "apiKeys": ["key-a"], "priority": 1, "unit": "token_stream", "plainTokens": 200,
              "ratePerS": RATE_PER_S, "burst": RATE_PER_S}]))
        self.create(loopback_hosts(6), store)
        first, added = self.gateways[:3], self.gateways[3:]
        for each in first:
            each.start()
        for each in first:
            await each.wait_ready()
        await asyncio.sleep(SETTLE_S)
        begin = now()
        balancer = asyncio.create_task(self.balance())
        await asyncio.sleep(1)
        self.loss_at = begin + LOSS_AT_S
        self.final_at = begin + FINAL_AT_S
        self.back_at = self.final_at + DOWN_S
        self.end = self.back_at + RECOVER_S + WATCH_S
        load = asyncio.create_task(self.load(self.end))
        active = first
        if has_trouble():
            await self.until(self.loss_at)
            self.lose(first, "lost-for-good")
            await self.until(begin + ADD_AT_S)
            for each in added:
                self.record.add("added", gateway=each.name)
                each.start(first_start=False)
            active = added
        await self.until(self.final_at)
        self.lose(active, "final-fault")
        await self.until(self.back_at)
        for each in active:
            each.start(first_start=False)
        self.record.add("started-again", gateways=len(active))
        await load
        balancer.cancel()

    def share(self, begin, end):
        statuses = [status for sent, status in self.results if begin <= sent < end]
        return len(statuses), sum(1 for each in statuses if each == 200)

    def judge(self):
        """RECOVER: a quarter or more served before the final fault, and under a quarter
        of those sent more than recoverS after the machines' return."""
        before, served_before = self.share(0, self.final_at)
        after, served_after = self.share(self.back_at + RECOVER_S, self.end)
        refused = sum(1 for sent, status in self.results if sent >= self.back_at + RECOVER_S and status == 429)
        text = "before the final fault %d of %d served; %d s after the return %d of %d served, %d got 429" % (
            served_before, before, RECOVER_S, served_after, after, refused)
        print(text)
        self.record.add("judged", text=text.replace(" ", "_"))
        if served_before * 4 < before:
            return 2
        return 1 if served_after * 4 < after else 0


def main():
    end_on_sigterm()
    temporary = tempfile.mkdtemp()
    case = Case(temporary)
    code = 2
    try:
        asyncio.run(asyncio.wait_for(case.play(), 112))
        code = case.judge()
    except Exception as failure:  # The case could not run.
        print("could not run: %r" % failure)
    finally:
        for each in case.gateways:
            each.end()
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)


main()
