#!/usr/bin/env python3
"""Tests Meta/losses and Meta/bound against results computed by hand, and that
Meta/quota loads."""
import importlib.machinery
import importlib.util
import os
import sys
import tempfile
import unittest

META = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "Meta")
sys.dont_write_bytecode = True


def script(name):
    loader = importlib.machinery.SourceFileLoader(name, os.path.join(META, name))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader(name, loader))
    loader.exec_module(module)
    return module


LOSSES = script("losses")
BOUND = script("bound")
QUOTA = script("quota")

LOG = """
   0.1000 edge-1 time=x level=info event=instance-started instance=edge-1
   9.0000 edge-1 time=x level=info event=request-sent request=a route=r target=t
   9.5000 edge-1 time=x level=info event=request-finished request=a pool=p status=200 reason=complete late=waited first_event_us=1 prompt_tokens=7
   9.6000 edge-1 time=x level=info event=request-finished request=b pool=p status=200 reason=complete late=no first_event_us=1 prompt_tokens=7
   9.7000 edge-1 time=x level=info event=request-refused request=c pool=p status=503 reason=no-target late=no
   9.8000 edge-1 time=x level=info event=request-refused request=d pool=p status=429 reason=over-quota late=no
   9.9000 edge-2 time=x level=info event=instance-started instance=edge-2
  10.0000 edge-2 time=x level=info event=request-refused request=e pool=p status=503 reason=no-target late=no
  10.1000 edge-2 time=x level=info event=request-sent request=f route=r target=t
"""
KINDS = [{"name": "k", "kind": "stream", "worth": 2.0, "late_worth": 1.0}]


class LossesTest(unittest.TestCase):
    def requests(self):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write(LOG)
            file.flush()
            return LOSSES.read_log(file.name)

    def test_causes_of_the_log(self):
        causes = sorted(each.cause for each in self.requests())
        self.assertEqual(causes, sorted([
            LOSSES.LATE["waited"], LOSSES.REASONS["no-target"], LOSSES.REASONS["over-quota"],
            LOSSES.REASONS["no-configuration"], LOSSES.UNSEEN["failed"]]))

    def test_sum_is_the_gap(self):
        rows = {"n": 10, "not_owed": 0, "late": 2, "refused": 3, "failed": 1, "worth": 0.5}
        half = {"n": 5, "not_owed": 0, "late": 1, "refused": 1.5, "failed": 0.5, "worth": 0.5}
        report = {"G": 0.55, "parts": [["whole day", 0.5, 0.7], ["worst windows", 0.3, 0.5], ["worst class", 0.2, 0.6]],
                  "prices": [["machines", 1, 0.03]],
                  "classes": [dict(rows, name="k")],
                  "windows": [dict(half, name="8"), dict(half, name="10")]}
        causes = LOSSES.account(report, {"classes": KINDS}, self.requests())
        self.assertAlmostEqual(sum(causes.values()), 0.15 + 0.15 + 0.08 + 0.03)
        # Late requests lose half of their worth: 2 x 1 of 2 x 1 + 3 x 2 + 1 x 2. The
        # log contains one of the two.
        self.assertAlmostEqual(causes[LOSSES.LATE["waited"]], (0.15 + 0.15 + 0.08) / 10)
        self.assertAlmostEqual(causes[LOSSES.UNSEEN["late"]], (0.15 + 0.15 + 0.08) / 10)
        self.assertAlmostEqual(causes["price: machines"], 0.03)

    def test_beyond_the_limit_is_not_lost(self):
        row = {"name": "k", "n": 10, "not_owed": 1, "late": 0, "refused": 1, "failed": 0, "worth": 0.9}
        report = {"G": 0.9, "parts": [["whole day", 1.0, 0.9]], "prices": [], "classes": [row], "windows": []}
        causes = LOSSES.account(report, {"classes": KINDS}, self.requests())
        self.assertNotIn(LOSSES.REASONS["over-quota"], +causes)
        self.assertAlmostEqual(sum(causes.values()), 0.1)


class BoundTest(unittest.TestCase):
    SITE = {
        "length_s": 4.0, "bounds": {"recover_s": 2.0}, "goal": {"mean": 1.0, "window": 0.0, "class": 0.0},
        "services": [{"name": "s", "slots": 1, "servers": [{"count": 1}]}],
        "classes": [{"name": "k", "service": "s", "worth": 2.0, "late_worth": 1.0, "deadline_ms": 1000, "work_ms": {"mean": 100.0}}],
        "traffic": [{"per_s": 10.0, "mix": {"k": 1.0}}],
    }

    def test_room_for_all(self):
        self.assertAlmostEqual(BOUND.bound(self.SITE, {})[1], 1.0)

    def test_twice_the_room(self):
        day = {"faults": [{"kind": "burst", "at": 0.0, "for_s": 4.0, "x": 2.0}]}
        # Half are served in time; there is no capacity left for the waiting ones.
        self.assertAlmostEqual(BOUND.bound(self.SITE, day)[1], 0.5)

    def test_what_waited_is_served_late(self):
        day = {"faults": [{"kind": "srv_crash", "at": 0.0, "for_s": 0.5, "share": 1.0}],
               "traffic": [{"per_s": 5.0, "mix": {"k": 1.0}}]}
        # 2.5 of 20 requests wait, and are served late but within their deadline.
        self.assertAlmostEqual(BOUND.bound(self.SITE, day)[1], (17.5 * 2 + 2.5) / 40)

    def test_no_instance_no_service(self):
        day = {"closing": {"kind": "kill_all", "down_s": 1.0}}
        # The first second after the end is lost; the engines have no spare capacity
        # to catch up.
        self.assertAlmostEqual(BOUND.bound(self.SITE, day)[1], 50 / 60)


unittest.main()
