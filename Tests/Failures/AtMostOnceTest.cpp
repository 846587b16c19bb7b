//===-- AtMostOnceTest.cpp - At-most-once execution under failures --------===//
//
// Guards against requests that are dispatched twice, non-repeatable requests
// that run twice over a caller's retries, and refusals as "not run" of requests
// that ran. The application stand-in counts the executions.
//
//===----------------------------------------------------------------------===//
#include "Fleet.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <random>
#include <thread>

using namespace yardrill;
using namespace yardrill::tests;

static http::RequestMessage withTicket(const std::string &Ticket,
                                       const std::string &Identity) {
  auto Out = applicationRequest("/transfers/1", Identity);
  Out.m_Headers.set("Yardrill-Ticket", Ticket);
  return Out;
}

static http::RequestMessage withKey(const std::string &Identity,
                                    const std::string &Body = "x") {
  auto Out = applicationRequest("/transfers/1", Identity, Body);
  Out.m_Headers.set("Idempotency-Key", Identity);
  return Out;
}

class AtMostOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(testRetriesAtOtherInstances);
  CPPUNIT_TEST(testConcurrentRequestsOfOneIdentity);
  CPPUNIT_TEST(testClaimResponseLost);
  CPPUNIT_TEST(testClaimTakesEffectLate);
  CPPUNIT_TEST(testClaimWonByAnotherInstance);
  CPPUNIT_TEST(testPlatformDown);
  CPPUNIT_TEST(testInstanceKilledDuringAndAfterExecution);
  CPPUNIT_TEST(testInstanceKilledBeforeDispatch);
  CPPUNIT_TEST(testFrozenInstanceResumes);
  CPPUNIT_TEST(testConnectionToTargetLost);
  CPPUNIT_TEST(testTargetUnreachable);
  CPPUNIT_TEST(testIdentityIsRequired);
  CPPUNIT_TEST(testStorm);
  CPPUNIT_TEST_SUITE_END();

  static std::int64_t executions(const Fleet &TestFleet,
                                 const std::string &Id) {
    return executionsOf(TestFleet.applicationPort(), Id);
  }

  static Fleet::Options fleetOptions(int Instances) {
    Fleet::Options Out;
    Out.m_Instances = Instances;
    return Out;
  }

public:
  void testRetriesAtOtherInstances() {
    Fleet TestFleet(fleetOptions(3));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    std::string Ticket = issueTicket(TestFleet.at(0).m_CallerPort);
    for (int I = 2; I >= 0; --I) {
      Reply Ticketed =
          call(TestFleet.at(I).m_CallerPort, withTicket(Ticket, "by-ticket"));
      CPPUNIT_ASSERT_EQUAL(200U, Ticketed.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::string("1"), Ticketed.header("Execution"));
      Reply Keyed = call(TestFleet.at(I).m_CallerPort, withKey("by-key"));
      CPPUNIT_ASSERT_EQUAL(200U, Keyed.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::string("1"), Keyed.header("Execution"));
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, "by-ticket"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, "by-key"));
    // A key that is reused with another body is refused.
    Reply Other = call(TestFleet.at(1).m_CallerPort, withKey("by-key", "y"));
    CPPUNIT_ASSERT_EQUAL(422U, Other.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Other.problem("outcome"));
    CPPUNIT_ASSERT_EQUAL(std::string(), TestFleet.internalFailures());
  }

  void testConcurrentRequestsOfOneIdentity() {
    Fleet TestFleet(fleetOptions(3));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 200}});
    for (int Round = 0; Round < 5; ++Round) {
      std::string Key = "together-" + std::to_string(Round);
      std::vector<std::future<Reply>> Replies;
      for (int I = 0; I < 6; ++I)
        Replies.push_back(
            callAsync(TestFleet.at(I % 3).m_CallerPort, withKey(Key)));
      for (auto &Each : Replies) {
        Reply Response = Each.get();
        CPPUNIT_ASSERT_EQUAL(200U, Response.m_Status);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), Response.m_Body);
      }
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, Key));
    }
  }

  void testClaimResponseLost() {
    Fleet TestFleet(fleetOptions(2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.platformPort(), {{"lose_answers", 1}});
    Reply Response = call(TestFleet.at(0).m_CallerPort, withKey("lost"));
    CPPUNIT_ASSERT_EQUAL(200U, Response.m_Status);
    Reply Again = call(TestFleet.at(1).m_CallerPort, withKey("lost"));
    CPPUNIT_ASSERT_EQUAL(200U, Again.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, "lost"));
  }

  void testClaimTakesEffectLate() {
    Fleet TestFleet(fleetOptions(2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.platformPort(),
                   {{"lose_answers", 1}, {"late_ms", 1500}});
    Reply Response = call(TestFleet.at(0).m_CallerPort, withKey("late"));
    CPPUNIT_ASSERT_EQUAL(503U, Response.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Response.problem("outcome"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), executions(TestFleet, "late"));
    auto HasClaim = [&] {
      boost::json::object Counters = countersOf(TestFleet.platformPort());
      const auto &Keys = Counters.at("keys").as_object();
      return std::any_of(Keys.begin(), Keys.end(), [](const auto &Pair) {
        return std::string(Pair.key()).find("/claims/") != std::string::npos;
      });
    };
    CPPUNIT_ASSERT(eventually(HasClaim));
    // The owner of the claim knows that the request did not run, so a retry
    // through any instance runs it once.
    for (int I : {1, 0, 1}) {
      Reply Again = call(TestFleet.at(I).m_CallerPort, withKey("late"));
      CPPUNIT_ASSERT_EQUAL(200U, Again.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, "late"));
    }
  }

  /// Guards against counting a claim as held whose write never took effect:
  /// another instance may have won it since.
  void testClaimWonByAnotherInstance() {
    Fleet TestFleet(fleetOptions(2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.platformPort(),
                   {{"lose_answers", 1}, {"late_ms", 60000}});
    Reply First = call(TestFleet.at(0).m_CallerPort, withKey("other"));
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), First.problem("outcome"));
    for (int I : {1, 0, 1, 0}) {
      Reply Again = call(TestFleet.at(I).m_CallerPort, withKey("other"));
      CPPUNIT_ASSERT_EQUAL(200U, Again.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, "other"));
    }
  }

  void testPlatformDown() {
    Fleet TestFleet(fleetOptions(2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    std::string Ticket = issueTicket(TestFleet.at(0).m_CallerPort);
    controlStandIn(TestFleet.platformPort(), {{"down", true}});
    Reply Keyed = call(TestFleet.at(0).m_CallerPort, withKey("down"));
    CPPUNIT_ASSERT_EQUAL(503U, Keyed.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Keyed.problem("outcome"));
    CPPUNIT_ASSERT(!Keyed.header("Retry-After").empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), executions(TestFleet, "down"));
    // Requests with tickets need no claim in the store.
    for (int I : {1, 0}) {
      Reply Ticketed =
          call(TestFleet.at(I).m_CallerPort, withTicket(Ticket, "ticket-down"));
      CPPUNIT_ASSERT_EQUAL(200U, Ticketed.m_Status);
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, "ticket-down"));
  }

  void testInstanceKilledDuringAndAfterExecution() {
    Fleet TestFleet(fleetOptions(2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    std::string Ticket = issueTicket(TestFleet.at(0).m_CallerPort);
    Reply After = call(TestFleet.at(0).m_CallerPort, withKey("after"));
    CPPUNIT_ASSERT_EQUAL(200U, After.m_Status);
    controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 3000}});
    auto Ticketed =
        callAsync(TestFleet.at(0).m_CallerPort, withTicket(Ticket, "during"));
    auto Keyed = callAsync(TestFleet.at(0).m_CallerPort, withKey("during-key"));
    CPPUNIT_ASSERT(eventually([&] {
      return executions(TestFleet, "during") == 1 &&
             executions(TestFleet, "during-key") == 1;
    }));
    TestFleet.at(0).m_Process.kill();
    CPPUNIT_ASSERT(!Ticketed.get().isComplete());
    CPPUNIT_ASSERT(!Keyed.get().isComplete());
    controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 0}});
    for (const auto &Request : {withTicket(Ticket, "during"),
                                withKey("during-key"), withKey("after")}) {
      Reply Again = call(TestFleet.at(1).m_CallerPort, Request);
      CPPUNIT_ASSERT_EQUAL(502U, Again.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown"),
                           Again.problem("outcome"));
    }
    // A new incarnation at the same address doesn't run them either.
    TestFleet.start(0);
    CPPUNIT_ASSERT(eventually([&] {
      return TestFleet.callOperatorApi(0, "/readyz").m_Status == 200;
    }));
    for (const auto &Request :
         {withTicket(Ticket, "during"), withKey("during-key")}) {
      Reply Again = call(TestFleet.at(0).m_CallerPort, Request);
      CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown"),
                           Again.problem("outcome"));
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, "during"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, "during-key"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, "after"));
  }

  void testInstanceKilledBeforeDispatch() {
    Fleet TestFleet(fleetOptions(2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.platformPort(), {{"slow_ms", 700}});
    auto First = callAsync(TestFleet.at(0).m_CallerPort, withKey("before"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    TestFleet.at(0).m_Process.kill();
    CPPUNIT_ASSERT(!First.get().isComplete());
    controlStandIn(TestFleet.platformPort(), {{"slow_ms", 0}});
    Reply Again = call(TestFleet.at(1).m_CallerPort, withKey("before"));
    // If the claim was not recorded, the request runs now; if it was, the
    // killed instance owns it and the request never runs.
    if (Again.m_Status == 200)
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, "before"));
    else
      CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown"),
                           Again.problem("outcome"));
    CPPUNIT_ASSERT(executions(TestFleet, "before") <= 1);
  }

  void testFrozenInstanceResumes() {
    auto FleetOptions = fleetOptions(2);
    FleetOptions.m_Slots = 2; // One for each instance.
    Fleet TestFleet(FleetOptions);
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    std::string Ticket = issueTicket(TestFleet.at(0).m_CallerPort);
    controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 500}});
    auto Running = callAsync(TestFleet.at(0).m_CallerPort, withKey("running"));
    CPPUNIT_ASSERT(
        eventually([&] { return executions(TestFleet, "running") == 1; }));
    // These wait for the only slot of instance 0, which is frozen next.
    auto Waiting = callAsync(TestFleet.at(0).m_CallerPort, withKey("waiting"));
    auto Ticketed =
        callAsync(TestFleet.at(0).m_CallerPort, withTicket(Ticket, "frozen"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    TestFleet.at(0).m_Process.signal(SIGSTOP);
    auto AgainKeyed =
        callAsync(TestFleet.at(1).m_CallerPort, withKey("waiting"));
    auto AgainTicketed =
        callAsync(TestFleet.at(1).m_CallerPort, withTicket(Ticket, "frozen"));
    // Longer than the peer timeout, so that its peer counts it as gone.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), executions(TestFleet, "waiting"));
    TestFleet.at(0).m_Process.signal(SIGCONT);
    for (auto *Each :
         {&Running, &Waiting, &Ticketed, &AgainKeyed, &AgainTicketed})
      CPPUNIT_ASSERT_EQUAL(200U, Each->get().m_Status);
    for (const char *Id : {"running", "waiting", "frozen"})
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, Id));
  }

  void testConnectionToTargetLost() {
    Fleet TestFleet(fleetOptions(2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    struct Case {
      const char *m_AbortPoint;
      std::int64_t m_Executions;
    };
    std::int64_t Calls = 0;
    for (const Case &Each :
         {Case{"before-execution", 0}, Case{"after-execution", 1},
          Case{"within-answer", 1}}) {
      controlStandIn(TestFleet.applicationPort(),
                     {{"break", Each.m_AbortPoint}});
      std::string Key = Each.m_AbortPoint;
      auto Plain = applicationRequest("/holds/1", "plain-" + Key, "xxxx");
      for (const auto &Request : {withKey(Key, "xxxx"), Plain}) {
        Reply First = call(TestFleet.at(0).m_CallerPort, Request);
        ++Calls;
        bool IsReported = First.m_Status == 502 &&
                          First.problem("outcome") == "outcome-unknown";
        // A truncated response never looks complete.
        CPPUNIT_ASSERT(IsReported || !First.isComplete());
      }
      controlStandIn(TestFleet.applicationPort(), {{"break", ""}});
      Reply Again = call(TestFleet.at(1).m_CallerPort, withKey(Key, "xxxx"));
      CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown"),
                           Again.problem("outcome"));
      CPPUNIT_ASSERT_EQUAL(Each.m_Executions, executions(TestFleet, Key));
      // Nothing is dispatched twice, not even a repeatable request.
      CPPUNIT_ASSERT_EQUAL(Calls, countersOf(TestFleet.applicationPort())
                                      .at("calls")
                                      .to_number<std::int64_t>());
    }
  }

  void testTargetUnreachable() {
    auto FleetOptions = fleetOptions(1);
    FleetOptions.m_DeadlineMilliseconds[1] = 1000;
    // Sent as batch: the lowest tier may be shed without a permit, which a
    // request of a higher tier would wait for.
    FleetOptions.m_DeadlineMilliseconds[2] = 1000;
    Fleet TestFleet(FleetOptions);
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    TestFleet.application().kill();
    auto Request = withKey("unreachable");
    Request.m_Headers.set("Yardrill-Tier", "batch");
    Reply Refused = call(TestFleet.at(0).m_CallerPort, Request);
    CPPUNIT_ASSERT_EQUAL(503U, Refused.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Refused.problem("outcome"));
    CPPUNIT_ASSERT_EQUAL(std::string("urn:yardrill:problem:target-unreachable"),
                         Refused.problem("type"));
    TestFleet.startApplication();
    CPPUNIT_ASSERT(
        eventually([&] { return executions(TestFleet, "unreachable") == 0; }));
    // A request that was refused as not run runs once when it is sent again.
    CPPUNIT_ASSERT(eventually([&] {
      return call(TestFleet.at(0).m_CallerPort, Request).m_Status == 200;
    }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(TestFleet, "unreachable"));
  }

  void testIdentityIsRequired() {
    Fleet TestFleet(fleetOptions(1));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    for (const char *Path : {"/transfers/1", "/%74ransfers/1"}) {
      Reply Response =
          call(TestFleet.at(0).m_CallerPort, applicationRequest(Path, "none"));
      CPPUNIT_ASSERT_EQUAL(428U, Response.m_Status);
    }
    // Paths that a target may normalize to another path are refused.
    for (const char *Path : {"//transfers/1", "/x/../transfers/1",
                             "/x%2f..%2ftransfers/1", "/./transfers/1"}) {
      Reply Response =
          call(TestFleet.at(0).m_CallerPort, applicationRequest(Path, "none"));
      CPPUNIT_ASSERT_EQUAL(400U, Response.m_Status);
    }
    Reply Query = call(TestFleet.at(0).m_CallerPort,
                       applicationRequest("?x=/transfers", "q"));
    CPPUNIT_ASSERT_EQUAL(std::string("/?x=/transfers"),
                         Query.header("Seen-Target"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), executions(TestFleet, "none"));
  }

  /// Sends each identity several times, to random instances, while instances
  /// are killed and frozen and the platform fails.
  void testStorm() {
    static const int IdentityCount = 120;
    static const int AttemptsPerIdentity = 4;
    Fleet TestFleet(fleetOptions(3));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 30}});
    std::vector<http::RequestMessage> Requests;
    for (int I = 0; I < IdentityCount; ++I) {
      std::string Id = "storm-" + std::to_string(I);
      Requests.push_back(
          I % 2 == 0
              ? withKey(Id)
              : withTicket(issueTicket(TestFleet.at(I % 3).m_CallerPort), Id));
    }
    std::atomic<int> Next{0};
    std::vector<std::vector<Reply>> Replies(IdentityCount);
    auto Work = [&](unsigned Seed) {
      std::mt19937 Random(Seed);
      for (int I = Next++; I < IdentityCount; I = Next++)
        for (int Attempt = 0; Attempt < AttemptsPerIdentity; ++Attempt)
          Replies[static_cast<std::size_t>(I)].push_back(
              call(TestFleet.at(static_cast<int>(Random() % 3)).m_CallerPort,
                   Requests[static_cast<std::size_t>(I)]));
    };
    std::vector<std::thread> Workers;
    for (unsigned Seed = 0; Seed < 12; ++Seed)
      Workers.emplace_back(Work, Seed);
    auto Pause = [] {
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
    };
    Pause();
    controlStandIn(TestFleet.platformPort(), {{"lose_answers", 10}});
    Pause();
    TestFleet.at(0).m_Process.signal(SIGSTOP);
    Pause();
    TestFleet.at(1).m_Process.kill();
    TestFleet.start(1);
    Pause();
    controlStandIn(TestFleet.platformPort(), {{"down", true}});
    Pause();
    TestFleet.at(0).m_Process.signal(SIGCONT);
    controlStandIn(TestFleet.platformPort(), {{"down", false}});
    Pause();
    TestFleet.at(2).m_Process.kill();
    TestFleet.start(2);
    for (auto &Each : Workers)
      Each.join();
    int ExecutedCount = 0;
    for (std::size_t I = 0; I < Replies.size(); ++I) {
      std::int64_t Count = executions(TestFleet, "storm-" + std::to_string(I));
      CPPUNIT_ASSERT(Count <= 1);
      ExecutedCount += static_cast<int>(Count);
      bool WasSuccessful = false;
      bool AllNotRun = true;
      for (const Reply &Each : Replies[I]) {
        WasSuccessful =
            WasSuccessful || (Each.m_Status == 200 && Each.isComplete());
        AllNotRun = AllNotRun && Each.problem("outcome") == "not-run";
      }
      if (WasSuccessful)
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), Count);
      if (AllNotRun)
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Count);
    }
    // Enough requests must have run for the checks above to mean something.
    CPPUNIT_ASSERT(ExecutedCount > IdentityCount / 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);
