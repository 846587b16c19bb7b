//===-- NotRunTest.cpp - The outcome "not-run" is true --------------------===//
//
// Guards against requests that run although they are refused as "not run".
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

  static http::RequestMessage batchRequest(const std::string &Identity) {
    auto Out = applicationRequest("/holds", Identity);
    Out.m_Headers.set("Yardrill-Tier", "batch");
    return Out;
  }

public:
  void testOverload() {
    Fleet::Options FleetOptions;
    FleetOptions.m_Instances = 2;
    FleetOptions.m_Slots = 4;
    FleetOptions.m_QueueLimit = 5;
    FleetOptions.m_DeadlineMilliseconds[2] = 400;
    Fleet TestFleet(FleetOptions);
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 100}});
    std::vector<std::future<Reply>> Replies;
    for (int I = 0; I < 80; ++I)
      Replies.push_back(callAsync(TestFleet.at(I % 2).m_CallerPort,
                                  batchRequest("load-" + std::to_string(I))));
    std::set<std::string> ProblemTypes;
    for (int I = 0; I < 80; ++I) {
      Reply Response = Replies[static_cast<std::size_t>(I)].get();
      CPPUNIT_ASSERT(Response.isComplete());
      std::int64_t Count = executionsOf(TestFleet.applicationPort(),
                                        "load-" + std::to_string(I));
      if (Response.m_Status == 200) {
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), Count);
        continue;
      }
      CPPUNIT_ASSERT_EQUAL(503U, Response.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Response.problem("outcome"));
      CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Count);
      CPPUNIT_ASSERT(std::stoi(Response.header("Retry-After")) >= 1);
      ProblemTypes.insert(Response.problem("type"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         ProblemTypes.count("urn:yardrill:problem:queue-full"));
    // No refused request runs after the last response either.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    std::int64_t Calls =
        countersOf(TestFleet.applicationPort()).at("calls").to_number<int>();
    std::int64_t Executed = 0;
    for (int I = 0; I < 80; ++I)
      Executed += executionsOf(TestFleet.applicationPort(),
                               "load-" + std::to_string(I));
    CPPUNIT_ASSERT_EQUAL(Calls, Executed);
  }

  void testRetryAfterIsJittered() {
    Fleet::Options FleetOptions;
    FleetOptions.m_Slots = 1;
    FleetOptions.m_QueueLimit = 20;
    Fleet TestFleet(FleetOptions);
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 300}});
    std::vector<std::future<Reply>> Replies;
    for (int I = 0; I < 50; ++I)
      Replies.push_back(
          callAsync(TestFleet.at(0).m_CallerPort, batchRequest("s")));
    std::set<int> Seconds;
    for (auto &Each : Replies) {
      Reply Response = Each.get();
      if (Response.m_Status != 200)
        Seconds.insert(std::stoi(Response.header("Retry-After")));
    }
    // Callers that are refused at the same time must not retry all at once.
    CPPUNIT_ASSERT(Seconds.size() >= 2);
  }

  void testInvalidRequestsAreRefused() {
    Fleet TestFleet(Fleet::Options{});
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    int Port = TestFleet.at(0).m_CallerPort;
    auto NoKey = completionRequest("x", 1, false);
    NoKey.m_Headers.remove("Authorization");
    CPPUNIT_ASSERT_EQUAL(401U, call(Port, NoKey).m_Status);
    auto WrongKey = completionRequest("x", 1, false);
    WrongKey.m_Headers.set("Authorization", "Bearer wrong");
    CPPUNIT_ASSERT_EQUAL(403U, call(Port, WrongKey).m_Status);
    auto UnknownTier = completionRequest("x", 1, false, "gold");
    CPPUNIT_ASSERT_EQUAL(400U, call(Port, UnknownTier).m_Status);
    auto UnknownModel = completionRequest("x", 1, false);
    UnknownModel.m_Body = R"({"model":"other","prompt":"x"})";
    CPPUNIT_ASSERT_EQUAL(404U, call(Port, UnknownModel).m_Status);
    for (const char *Body :
         {"", "{", "[]", "{}", R"({"model":1})", R"({"model":"assistant-1"})",
          R"({"model":"assistant-1","prompt":"x","stream":1})"}) {
      auto Bad = completionRequest("x", 1, false);
      Bad.m_Body = Body;
      Reply Response = call(Port, Bad);
      CPPUNIT_ASSERT_EQUAL(400U, Response.m_Status);
      CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Response.problem("outcome"));
    }
    CPPUNIT_ASSERT_EQUAL(
        0, countersOf(TestFleet.enginePort(0)).at("started").to_number<int>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NotRunTest);
