//===-- AtMostOnceTest.cpp - Nothing runs twice, whatever fails -----------===//
//
// Brief, "What must always hold": every request is dispatched at most once; a
// request that may not be repeated runs at most once over a caller's retries;
// who is told "not run" truly was not run. The application's own count is the
// judge.
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

  static std::int64_t executions(const Fleet &All, const std::string &Id) {
    return executionsOf(All.applicationPort(), Id);
  }

  static Fleet::Options shape(int Instances) {
    Fleet::Options Out;
    Out.m_Instances = Instances;
    return Out;
  }

public:
  void testRetriesAtOtherInstances() {
    Fleet All(shape(3));
    CPPUNIT_ASSERT(All.waitUntilServing());
    std::string Ticket = issueTicket(All.at(0).m_CallerPort);
    for (int I = 2; I >= 0; --I) {
      Reply One = call(All.at(I).m_CallerPort, withTicket(Ticket, "by-ticket"));
      CPPUNIT_ASSERT_EQUAL(200U, One.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::string("1"), One.header("Execution"));
      Reply Two = call(All.at(I).m_CallerPort, withKey("by-key"));
      CPPUNIT_ASSERT_EQUAL(200U, Two.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::string("1"), Two.header("Execution"));
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, "by-ticket"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, "by-key"));
    // The same key with another body is another request: refused.
    Reply Other = call(All.at(1).m_CallerPort, withKey("by-key", "y"));
    CPPUNIT_ASSERT_EQUAL(422U, Other.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Other.problem("outcome"));
    CPPUNIT_ASSERT_EQUAL(std::string(), All.internalFailures());
  }

  void testConcurrentRequestsOfOneIdentity() {
    Fleet All(shape(3));
    CPPUNIT_ASSERT(All.waitUntilServing());
    controlStandIn(All.applicationPort(), {{"delay_ms", 200}});
    for (int Round = 0; Round < 5; ++Round) {
      std::string Key = "together-" + std::to_string(Round);
      std::vector<std::future<Reply>> Replies;
      for (int I = 0; I < 6; ++I)
        Replies.push_back(callAsync(All.at(I % 3).m_CallerPort, withKey(Key)));
      for (auto &Each : Replies) {
        Reply Answer = Each.get();
        CPPUNIT_ASSERT_EQUAL(200U, Answer.m_Status);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), Answer.m_Body);
      }
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, Key));
    }
  }

  void testClaimResponseLost() {
    Fleet All(shape(2));
    CPPUNIT_ASSERT(All.waitUntilServing());
    controlStandIn(All.platformPort(), {{"lose_answers", 1}});
    Reply Answer = call(All.at(0).m_CallerPort, withKey("lost"));
    CPPUNIT_ASSERT_EQUAL(200U, Answer.m_Status);
    Reply Again = call(All.at(1).m_CallerPort, withKey("lost"));
    CPPUNIT_ASSERT_EQUAL(200U, Again.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, "lost"));
  }

  void testClaimTakesEffectLate() {
    Fleet All(shape(2));
    CPPUNIT_ASSERT(All.waitUntilServing());
    controlStandIn(All.platformPort(),
                   {{"lose_answers", 1}, {"late_ms", 1500}});
    Reply Answer = call(All.at(0).m_CallerPort, withKey("late"));
    CPPUNIT_ASSERT_EQUAL(503U, Answer.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Answer.problem("outcome"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), executions(All, "late"));
    auto HasClaim = [&] {
      boost::json::object Counters = countersOf(All.platformPort());
      const auto &Keys = Counters.at("keys").as_object();
      return std::any_of(Keys.begin(), Keys.end(), [](const auto &Pair) {
        return std::string(Pair.key()).find("/claims/") != std::string::npos;
      });
    };
    CPPUNIT_ASSERT(eventually(HasClaim));
    // Its home knows that it did not run, so a retry anywhere runs it once.
    for (int I : {1, 0, 1}) {
      Reply Again = call(All.at(I).m_CallerPort, withKey("late"));
      CPPUNIT_ASSERT_EQUAL(200U, Again.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, "late"));
    }
  }

  /// A claim that never took effect must not count as held: meanwhile
  /// another instance may have won it.
  void testClaimWonByAnotherInstance() {
    Fleet All(shape(2));
    CPPUNIT_ASSERT(All.waitUntilServing());
    controlStandIn(All.platformPort(),
                   {{"lose_answers", 1}, {"late_ms", 60000}});
    Reply First = call(All.at(0).m_CallerPort, withKey("other"));
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), First.problem("outcome"));
    for (int I : {1, 0, 1, 0}) {
      Reply Again = call(All.at(I).m_CallerPort, withKey("other"));
      CPPUNIT_ASSERT_EQUAL(200U, Again.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, "other"));
    }
  }

  void testPlatformDown() {
    Fleet All(shape(2));
    CPPUNIT_ASSERT(All.waitUntilServing());
    std::string Ticket = issueTicket(All.at(0).m_CallerPort);
    controlStandIn(All.platformPort(), {{"down", true}});
    Reply Keyed = call(All.at(0).m_CallerPort, withKey("down"));
    CPPUNIT_ASSERT_EQUAL(503U, Keyed.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Keyed.problem("outcome"));
    CPPUNIT_ASSERT(!Keyed.header("Retry-After").empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), executions(All, "down"));
    // Tickets do without the platform.
    for (int I : {1, 0}) {
      Reply Ticketed =
          call(All.at(I).m_CallerPort, withTicket(Ticket, "ticket-down"));
      CPPUNIT_ASSERT_EQUAL(200U, Ticketed.m_Status);
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, "ticket-down"));
  }

  void testInstanceKilledDuringAndAfterExecution() {
    Fleet All(shape(2));
    CPPUNIT_ASSERT(All.waitUntilServing());
    std::string Ticket = issueTicket(All.at(0).m_CallerPort);
    Reply After = call(All.at(0).m_CallerPort, withKey("after"));
    CPPUNIT_ASSERT_EQUAL(200U, After.m_Status);
    controlStandIn(All.applicationPort(), {{"delay_ms", 3000}});
    auto Ticketed =
        callAsync(All.at(0).m_CallerPort, withTicket(Ticket, "during"));
    auto Keyed = callAsync(All.at(0).m_CallerPort, withKey("during-key"));
    CPPUNIT_ASSERT(eventually([&] {
      return executions(All, "during") == 1 &&
             executions(All, "during-key") == 1;
    }));
    All.at(0).m_Process.kill();
    CPPUNIT_ASSERT(!Ticketed.get().isComplete());
    CPPUNIT_ASSERT(!Keyed.get().isComplete());
    controlStandIn(All.applicationPort(), {{"delay_ms", 0}});
    for (const auto &Request : {withTicket(Ticket, "during"),
                                withKey("during-key"), withKey("after")}) {
      Reply Again = call(All.at(1).m_CallerPort, Request);
      CPPUNIT_ASSERT_EQUAL(502U, Again.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown"),
                           Again.problem("outcome"));
    }
    // Nor does its successor at the same address run them.
    All.start(0);
    CPPUNIT_ASSERT(eventually(
        [&] { return All.callOperatorApi(0, "/readyz").m_Status == 200; }));
    for (const auto &Request :
         {withTicket(Ticket, "during"), withKey("during-key")}) {
      Reply Again = call(All.at(0).m_CallerPort, Request);
      CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown"),
                           Again.problem("outcome"));
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, "during"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, "during-key"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, "after"));
  }

  void testInstanceKilledBeforeDispatch() {
    Fleet All(shape(2));
    CPPUNIT_ASSERT(All.waitUntilServing());
    controlStandIn(All.platformPort(), {{"slow_ms", 700}});
    auto First = callAsync(All.at(0).m_CallerPort, withKey("before"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    All.at(0).m_Process.kill();
    CPPUNIT_ASSERT(!First.get().isComplete());
    controlStandIn(All.platformPort(), {{"slow_ms", 0}});
    Reply Again = call(All.at(1).m_CallerPort, withKey("before"));
    // Either the claim never stood, and it runs now; or it stands for the
    // dead, and nobody will ever run it.
    if (Again.m_Status == 200)
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, "before"));
    else
      CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown"),
                           Again.problem("outcome"));
    CPPUNIT_ASSERT(executions(All, "before") <= 1);
  }

  void testFrozenInstanceResumes() {
    auto Wanted = shape(2);
    Wanted.m_Slots = 2; // One for each instance.
    Fleet All(Wanted);
    CPPUNIT_ASSERT(All.waitUntilServing());
    std::string Ticket = issueTicket(All.at(0).m_CallerPort);
    controlStandIn(All.applicationPort(), {{"delay_ms", 500}});
    auto Running = callAsync(All.at(0).m_CallerPort, withKey("running"));
    CPPUNIT_ASSERT(eventually([&] { return executions(All, "running") == 1; }));
    // These wait at instance 0 for its only place, and it is frozen.
    auto Waiting = callAsync(All.at(0).m_CallerPort, withKey("waiting"));
    auto Ticketed =
        callAsync(All.at(0).m_CallerPort, withTicket(Ticket, "frozen"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    All.at(0).m_Process.signal(SIGSTOP);
    auto AgainKeyed = callAsync(All.at(1).m_CallerPort, withKey("waiting"));
    auto AgainTicketed =
        callAsync(All.at(1).m_CallerPort, withTicket(Ticket, "frozen"));
    // Longer than a peer's silence; the others count it as gone.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), executions(All, "waiting"));
    All.at(0).m_Process.signal(SIGCONT);
    for (auto *Each :
         {&Running, &Waiting, &Ticketed, &AgainKeyed, &AgainTicketed})
      CPPUNIT_ASSERT_EQUAL(200U, Each->get().m_Status);
    for (const char *Id : {"running", "waiting", "frozen"})
      CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, Id));
  }

  void testConnectionToTargetLost() {
    Fleet All(shape(2));
    CPPUNIT_ASSERT(All.waitUntilServing());
    struct Case {
      const char *m_AbortPoint;
      std::int64_t m_Executions;
    };
    std::int64_t Calls = 0;
    for (const Case &Each :
         {Case{"before-execution", 0}, Case{"after-execution", 1},
          Case{"within-answer", 1}}) {
      controlStandIn(All.applicationPort(), {{"break", Each.m_AbortPoint}});
      std::string Key = Each.m_AbortPoint;
      auto Plain = applicationRequest("/holds/1", "plain-" + Key, "xxxx");
      for (const auto &Request : {withKey(Key, "xxxx"), Plain}) {
        Reply First = call(All.at(0).m_CallerPort, Request);
        ++Calls;
        bool IsTold = First.m_Status == 502 &&
                      First.problem("outcome") == "outcome-unknown";
        // Half an answer never looks whole.
        CPPUNIT_ASSERT(IsTold || !First.isComplete());
      }
      controlStandIn(All.applicationPort(), {{"break", ""}});
      Reply Again = call(All.at(1).m_CallerPort, withKey(Key, "xxxx"));
      CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown"),
                           Again.problem("outcome"));
      CPPUNIT_ASSERT_EQUAL(Each.m_Executions, executions(All, Key));
      // No second dispatch of anything, repeatable or not.
      CPPUNIT_ASSERT_EQUAL(Calls, countersOf(All.applicationPort())
                                      .at("calls")
                                      .to_number<std::int64_t>());
    }
  }

  void testTargetUnreachable() {
    auto Wanted = shape(1);
    Wanted.m_DeadlineMilliseconds[1] = 1000;
    // A fleet of one tier under pressure needs no floor: assist is not the
    // lowest, so the request goes as batch.
    Wanted.m_DeadlineMilliseconds[2] = 1000;
    Fleet All(Wanted);
    CPPUNIT_ASSERT(All.waitUntilServing());
    All.application().kill();
    auto Request = withKey("unreachable");
    Request.m_Headers.set("Yardrill-Tier", "batch");
    Reply Refused = call(All.at(0).m_CallerPort, Request);
    CPPUNIT_ASSERT_EQUAL(503U, Refused.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Refused.problem("outcome"));
    CPPUNIT_ASSERT_EQUAL(std::string("urn:yardrill:problem:target-unreachable"),
                         Refused.problem("type"));
    All.startApplication();
    CPPUNIT_ASSERT(
        eventually([&] { return executions(All, "unreachable") == 0; }));
    // What was refused as not run may be sent again, and runs once.
    CPPUNIT_ASSERT(eventually(
        [&] { return call(All.at(0).m_CallerPort, Request).m_Status == 200; }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1), executions(All, "unreachable"));
  }

  void testIdentityIsRequired() {
    Fleet All(shape(1));
    CPPUNIT_ASSERT(All.waitUntilServing());
    for (const char *Path : {"/transfers/1", "/%74ransfers/1"}) {
      Reply Answer =
          call(All.at(0).m_CallerPort, applicationRequest(Path, "none"));
      CPPUNIT_ASSERT_EQUAL(428U, Answer.m_Status);
    }
    // Spellings that a target may read otherwise are refused.
    for (const char *Path : {"//transfers/1", "/x/../transfers/1",
                             "/x%2f..%2ftransfers/1", "/./transfers/1"}) {
      Reply Answer =
          call(All.at(0).m_CallerPort, applicationRequest(Path, "none"));
      CPPUNIT_ASSERT_EQUAL(400U, Answer.m_Status);
    }
    Reply Query =
        call(All.at(0).m_CallerPort, applicationRequest("?x=/transfers", "q"));
    CPPUNIT_ASSERT_EQUAL(std::string("/?x=/transfers"),
                         Query.header("Seen-Target"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0), executions(All, "none"));
  }

  /// Identities sent again and again to any instance while instances die,
  /// freeze and the platform fails.
  void testStorm() {
    static const int Identities = 120;
    static const int Tries = 4;
    Fleet All(shape(3));
    CPPUNIT_ASSERT(All.waitUntilServing());
    controlStandIn(All.applicationPort(), {{"delay_ms", 30}});
    std::vector<http::RequestMessage> Requests;
    for (int I = 0; I < Identities; ++I) {
      std::string Id = "storm-" + std::to_string(I);
      Requests.push_back(
          I % 2 == 0 ? withKey(Id)
                     : withTicket(issueTicket(All.at(I % 3).m_CallerPort), Id));
    }
    std::atomic<int> Next{0};
    std::vector<std::vector<Reply>> Replies(Identities);
    auto Work = [&](unsigned Seed) {
      std::mt19937 Random(Seed);
      for (int I = Next++; I < Identities; I = Next++)
        for (int Try = 0; Try < Tries; ++Try)
          Replies[static_cast<std::size_t>(I)].push_back(
              call(All.at(static_cast<int>(Random() % 3)).m_CallerPort,
                   Requests[static_cast<std::size_t>(I)]));
    };
    std::vector<std::thread> Workers;
    for (unsigned Seed = 0; Seed < 12; ++Seed)
      Workers.emplace_back(Work, Seed);
    auto Pause = [] {
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
    };
    Pause();
    controlStandIn(All.platformPort(), {{"lose_answers", 10}});
    Pause();
    All.at(0).m_Process.signal(SIGSTOP);
    Pause();
    All.at(1).m_Process.kill();
    All.start(1);
    Pause();
    controlStandIn(All.platformPort(), {{"down", true}});
    Pause();
    All.at(0).m_Process.signal(SIGCONT);
    controlStandIn(All.platformPort(), {{"down", false}});
    Pause();
    All.at(2).m_Process.kill();
    All.start(2);
    for (auto &Each : Workers)
      Each.join();
    int RunCount = 0;
    for (std::size_t I = 0; I < Replies.size(); ++I) {
      std::int64_t Count = executions(All, "storm-" + std::to_string(I));
      CPPUNIT_ASSERT(Count <= 1);
      RunCount += static_cast<int>(Count);
      bool WasRunForSure = false;
      bool AllNotRun = true;
      for (const Reply &Each : Replies[I]) {
        WasRunForSure =
            WasRunForSure || (Each.m_Status == 200 && Each.isComplete());
        AllNotRun = AllNotRun && Each.problem("outcome") == "not-run";
      }
      if (WasRunForSure)
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), Count);
      if (AllNotRun)
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Count);
    }
    // The storm must not have been so strong that nothing was tested.
    CPPUNIT_ASSERT(RunCount > Identities / 4);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);
