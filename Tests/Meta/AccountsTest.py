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


def refusal(at, request, reason, status=503, content=None):
    line = f"{at:9.4f} edge-1 time=x level=info event=request-refused request={request} pool=p status={status} reason={reason} late=no"
    return line + (f" content={content}\n" if content else "\n")


def served(at, request, content):
    line = f"{at:9.4f} edge-1 time=x level=info event="
    return (line + f"request-sent request={request} content={content} target=t\n" +
            line + f"request-finished request={request} pool=p status=200 reason=complete late=no\n")


class LossesCase(unittest.TestCase):
    def requests(self, log=LOG):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write(log)
            file.flush()
            return LOSSES.read_log(file.name)

    def causes(self, log, row, beyond=0, looks=None):
        """Returns the losses of a day with one kind of request, without zeros, of which
        so many refused ones were beyond their account's limit."""
        owed = row["n"] - row["not_owed"] - beyond
        worth = (row["in_aim"] + row["late"] / 2) / owed
        report = {"G": worth, "parts": [["whole day", 1.0, worth]], "prices": [], "looks": looks or {},
                  "classes": [dict(row, worth=worth)], "windows": [],
                  "refused": row["refused"] / owed, "failed": row["failed"] / owed,
                  "unserved": (row["refused"] + row["failed"] - beyond) / owed}
        found = LOSSES.account(report, {"classes": KINDS}, self.requests(log))
        self.assertAlmostEqual(sum(found.values()), 1 - worth)
        return {cause: amount for cause, amount in found.items() if abs(amount) > 1e-9}

    def assert_only_no_target(self, causes, amount):
        self.assertEqual(list(causes), [LOSSES.REASONS["no-target"]])
        self.assertAlmostEqual(causes[LOSSES.REASONS["no-target"]], amount)


class LossesTest(LossesCase):
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

    def test_without_an_account_is_not_lost(self):
        # A report counts each request once: n = in_aim + late + refused + failed +
        # not_owed. What is not owed has a key that no account has.
        row = {"name": "k", "n": 10, "not_owed": 1, "in_aim": 8, "late": 0, "refused": 1, "failed": 0}
        log = refusal(1.0, "a", "unknown-key", 401) + refusal(1.0, "b", "no-target")
        self.assert_only_no_target(self.causes(log, row), 1 / 9)

    def test_lookups_are_not_lost(self):
        row = {"name": "k", "n": 9, "not_owed": 0, "in_aim": 8, "late": 0, "refused": 1, "failed": 0}
        log = refusal(1.0, "a", "no-route", 404) + refusal(1.0, "b", "no-target")
        self.assert_only_no_target(self.causes(log, row, looks={"404": 1}), 1 / 9)

    def test_worst_data_hall_has_its_own_rows(self):
        row = {"name": "a", "n": 10, "not_owed": 0, "in_aim": 9, "late": 0, "refused": 1, "failed": 0, "worth": 0.9}
        worst = dict(row, name="b", in_aim=8, refused=0, failed=2, worth=0.8)
        report = {"G": 0.8, "parts": [["worst zone", 1.0, 0.8]], "prices": [], "windows": [],
                  "classes": [dict(row, name="k")], "zones": [row, worst]}
        causes = LOSSES.account(report, {"classes": KINDS}, self.requests())
        self.assertAlmostEqual(causes[LOSSES.UNSEEN["failed"]], 0.2)


# Guards against blaming quotas for what an account sends beyond its limit, and
# against counting each attempt of a caller that comes back as a loss.
class BeyondTheLimitTest(LossesCase):
    # Three callers of an account beyond its limit, two others without a slot. All
    # come back; one of the latter was first refused by its quota.
    LOG = "".join(refusal(at, content + str(at), "over-quota", 429, content) for content in "abc" for at in (1.0, 1.5))
    LOG += refusal(1.0, "d1", "over-quota", 429, "d") + refusal(1.5, "d2", "no-target", content="d")
    LOG += refusal(1.0, "e1", "no-target", content="e") + refusal(1.5, "e2", "no-target", content="e")
    # One that was served when it came back.
    LOG += refusal(1.0, "f1", "no-target", content="f") + served(1.5, "f2", "f")
    ROW = {"name": "k", "n": 20, "not_owed": 0, "in_aim": 15, "late": 0, "refused": 5, "failed": 0}

    def test_nothing_is_owed_beyond_the_limit(self):
        self.assert_losses(3, {"no-target": 2 / 17})

    def test_all_is_owed(self):
        self.assert_losses(0, {"over-quota": 3 / 20, "no-target": 2 / 20})

    def test_a_part_is_owed(self):
        self.assert_losses(2, {"over-quota": 1 / 18, "no-target": 2 / 18})

    def test_more_is_not_owed_than_quotas_refused(self):
        # Requests beyond the limit may also be refused for want of a slot.
        self.assert_losses(4, {"no-target": 1 / 16})

    def test_late_and_failed_requests_weigh_more(self):
        # 2 of 17 were refused, one was late for half of its worth, one failed.
        row = dict(self.ROW, in_aim=13, late=1, failed=1)
        causes = self.causes(self.LOG, row, beyond=3)
        self.assertAlmostEqual(causes[LOSSES.REASONS["no-target"]], 2 / 17)
        self.assertAlmostEqual(causes[LOSSES.UNSEEN["late"]], 0.5 / 17)
        self.assertAlmostEqual(causes[LOSSES.UNSEEN["failed"]], 1 / 17)

    def test_repeated_content_after_success_is_a_new_request(self):
        log = served(1.0, "a1", "a") + refusal(1.5, "a2", "no-target", content="a")
        row = {"name": "k", "n": 2, "not_owed": 0, "in_aim": 1, "late": 0, "refused": 1, "failed": 0}
        self.assert_only_no_target(self.causes(log, row), 0.5)

    def assert_losses(self, beyond, expected):
        causes = self.causes(self.LOG, self.ROW, beyond)
        self.assertEqual(sorted(causes), sorted(LOSSES.REASONS[each] for each in expected))
        for reason, amount in expected.items():
            self.assertAlmostEqual(causes[LOSSES.REASONS[reason]], amount)


class BoundTest(unittest.TestCase):
    SITE = {
        "length_s": 4.0, "bounds": {"recover_s": 2.0}, "goal": {"mean": 1.0, "window": 0.0, "class": 0.0},
        "services": [{"name": "s", "slots": 1, "servers": [{"count": 1}]}],
        "classes": [{"name": "k", "service": "s", "worth": 2.0, "late_worth": 1.0, "deadline_ms": 1000, "work_ms": {"mean": 100.0}}],
        "traffic": [{"per_s": 10.0, "mix": {"k": 1.0}}],
    }

    def test_room_for_all(self):
        self.assertAlmostEqual(BOUND.bound(self.SITE, {})[1], 1.0)

    def test_worst_data_hall_is_a_part(self):
        site = dict(self.SITE, goal={"mean": 0.4, "window": 0.1, "class": 0.3, "zone": 0.2})
        parts, total = BOUND.bound(site, {})
        self.assertAlmostEqual(total, 1.0)
        self.assertAlmostEqual(parts["worst zone"], 1.0)
        # All data halls are served alike: half of the requests, as on the whole day.
        burst = {"faults": [{"kind": "burst", "at": 0.0, "for_s": 4.0, "x": 2.0}]}
        self.assertAlmostEqual(BOUND.bound(site, burst)[1], 0.5)

    def test_names_weights_that_it_leaves_out(self):
        goal = {"mean": 0.7, "window": 0.0, "class": 0.0, "zone": 0.1, "tenant": 0.2, "other": 0}
        self.assertEqual(BOUND.uncovered_weights(goal), {"tenant": 0.2})

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
