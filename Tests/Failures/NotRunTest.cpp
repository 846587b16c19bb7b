//===-- NotRunTest.cpp - "not run" is true, final and says when to return -===//
//
// Brief, "What must always hold": when a caller is refused with "not run", the
// request truly did not run.
//
//===----------------------------------------------------------------------===//
#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <thread>

using namespace yardrill;
using namespace yardrill::tests;

class NotRunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NotRunTest);
  CPPUNIT_TEST(testOverload);
  CPPUNIT_TEST(testRetryAfterIsJittered);
  CPPUNIT_TEST(testInvalidRequestsAreRefused);
  CPPUNIT_TEST_SUITE_END();

  static http::RequestMessage batchCall(const std::string &Identity) {
    auto Out = applicationRequest("/holds", Identity);
    Out.m_Headers.set("Yardrill-Tier", "batch");
    return Out;
  }

public:
  void testOverload() {
    Fleet::Options Wanted;
    Wanted.m_Instances = 2;
    Wanted.m_Slots = 4;
    Wanted.m_QueueLimit = 5;
    Wanted.m_DeadlineMilliseconds[2] = 400;
    Fleet All(Wanted);
    CPPUNIT_ASSERT(All.waitUntilServing());
    controlStandIn(All.applicationPort(), {{"delay_ms", 100}});
    std::vector<std::future<Reply>> Replies;
    for (int I = 0; I < 80; ++I)
      Replies.push_back(callAsync(All.at(I % 2).m_CallerPort,
                                  batchCall("load-" + std::to_string(I))));
    std::set<std::string> Kinds;
    for (int I = 0; I < 80; ++I) {
      Reply Answer = Replies[static_cast<std::size_t>(I)].get();
      CPPUNIT_ASSERT(Answer.isComplete());
      std::int64_t Count =
          executionsOf(All.applicationPort(), "load-" + std::to_string(I));
      if (Answer.m_Status == 200) {
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), Count);
        continue;
      }
      CPPUNIT_ASSERT_EQUAL(503U, Answer.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Answer.problem("outcome"));
      CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Count);
      CPPUNIT_ASSERT(std::stoi(Answer.header("Retry-After")) >= 1);
      Kinds.insert(Answer.problem("type"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Kinds.count("urn:yardrill:problem:queue-full"));
    // Nothing is run afterwards either, after everybody was answered.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    std::int64_t Calls =
        countersOf(All.applicationPort()).at("calls").to_number<int>();
    std::int64_t Executed = 0;
    for (int I = 0; I < 80; ++I)
      Executed +=
          executionsOf(All.applicationPort(), "load-" + std::to_string(I));
    CPPUNIT_ASSERT_EQUAL(Calls, Executed);
  }

  void testRetryAfterIsJittered() {
    Fleet::Options Wanted;
    Wanted.m_Slots = 1;
    Wanted.m_QueueLimit = 20;
    Fleet All(Wanted);
    CPPUNIT_ASSERT(All.waitUntilServing());
    controlStandIn(All.applicationPort(), {{"delay_ms", 300}});
    std::vector<std::future<Reply>> Replies;
    for (int I = 0; I < 50; ++I)
      Replies.push_back(callAsync(All.at(0).m_CallerPort, batchCall("s")));
    std::set<int> Seconds;
    for (auto &Each : Replies) {
      Reply Answer = Each.get();
      if (Answer.m_Status != 200)
        Seconds.insert(std::stoi(Answer.header("Retry-After")));
    }
    // Who was refused together must not come back together.
    CPPUNIT_ASSERT(Seconds.size() >= 2);
  }

  void testInvalidRequestsAreRefused() {
    Fleet All(Fleet::Options{});
    CPPUNIT_ASSERT(All.waitUntilServing());
    int Port = All.at(0).m_CallerPort;
    auto NoKey = completionRequest("x", 1, false);
    NoKey.m_Headers.remove("Authorization");
    CPPUNIT_ASSERT_EQUAL(401U, call(Port, NoKey).m_Status);
    auto WrongKey = completionRequest("x", 1, false);
    WrongKey.m_Headers.set("Authorization", "Bearer wrong");
    CPPUNIT_ASSERT_EQUAL(403U, call(Port, WrongKey).m_Status);
    auto NoTier = completionRequest("x", 1, false, "gold");
    CPPUNIT_ASSERT_EQUAL(400U, call(Port, NoTier).m_Status);
    auto NoModel = completionRequest("x", 1, false);
    NoModel.m_Body = R"({"model":"other","prompt":"x"})";
    CPPUNIT_ASSERT_EQUAL(404U, call(Port, NoModel).m_Status);
    for (const char *Body :
         {"", "{", "[]", "{}", R"({"model":1})", R"({"model":"assistant-1"})",
          R"({"model":"assistant-1","prompt":"x","stream":1})"}) {
      auto Bad = completionRequest("x", 1, false);
      Bad.m_Body = Body;
      Reply Answer = call(Port, Bad);
      CPPUNIT_ASSERT_EQUAL(400U, Answer.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Answer.problem("outcome"));
    }
    CPPUNIT_ASSERT_EQUAL(
        0, countersOf(All.enginePort(0)).at("started").to_number<int>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NotRunTest);
