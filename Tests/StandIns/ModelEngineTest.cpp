//===-- ModelEngineTest.cpp - Tests of the model engine stand-in ----------===//
#include "ModelEngine.h"

#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;

class ModelEngineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ModelEngineTest);
  CPPUNIT_TEST(testResume);
  CPPUNIT_TEST(testCancel);
  CPPUNIT_TEST(testHigherPriorityRunsFirst);
  CPPUNIT_TEST(testDelayedLoadAndCacheEvents);
  CPPUNIT_TEST_SUITE_END();

  Process m_Engine;
  int m_Port = 0;

  static http::RequestMessage makeRequest(const std::string &Method,
                                          const std::string &Target) {
    http::RequestMessage Out;
    Out.m_Method = Method;
    Out.m_Target = Target;
    Out.m_Headers.set("Host", "engine");
    return Out;
  }

  static http::RequestMessage completionWithId(const std::string &Id,
                                               int Tokens) {
    auto Out = completionRequest("resumable", Tokens, true);
    Out.m_Headers.set("Yardrill-Request-Id", Id);
    return Out;
  }

public:
  void setUp() override {
    m_Port = freePort();
    m_Engine = Process({program("Tests/stand_in"), "engine",
                        "--port=" + std::to_string(m_Port), "--places=1",
                        "--cached_prefixes=2"},
                       "/dev/null");
    CPPUNIT_ASSERT(eventually([&] { return !countersOf(m_Port).empty(); }));
  }
  void tearDown() override { m_Engine.kill(); }

  void testResume() {
    controlStandIn(m_Port, {{"linger_ms", 20000}});
    Reply First =
        call(m_Port, completionWithId("r1", 40), [](const std::string &Piece) {
          return Piece.find("id: 5\n") == std::string::npos;
        });
    CPPUNIT_ASSERT(!First.isComplete());
    auto Again = makeRequest("GET", "/v1/completions/r1");
    Again.m_Headers.set("Last-Event-ID", "5");
    Reply Rest = call(m_Port, Again);
    CPPUNIT_ASSERT(Rest.isComplete());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Rest.m_Body.find("id: 6\n"));
    CPPUNIT_ASSERT(Rest.m_Body.find("[DONE]") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(1, countersOf(m_Port).at("started").to_number<int>());
  }

  void testCancel() {
    auto Running = callAsync(m_Port, completionWithId("c1", 100000));
    CPPUNIT_ASSERT(eventually([&] {
      return call(m_Port, makeRequest("DELETE", "/v1/completions/c1"))
                 .m_Status == 200;
    }));
    CPPUNIT_ASSERT(!Running.get().isComplete());
    CPPUNIT_ASSERT(eventually(
        [&] { return countersOf(m_Port).at("busy").to_number<int>() == 0; }));
  }

  void testHigherPriorityRunsFirst() {
    auto Busy = callAsync(m_Port, completionWithId("p1", 60));
    CPPUNIT_ASSERT(eventually(
        [&] { return countersOf(m_Port).at("busy").to_number<int>() == 1; }));
    auto Waits = [&](int Count) {
      return eventually([&] {
        return countersOf(m_Port).at("waiting").to_number<int>() == Count;
      });
    };
    auto Low = completionWithId("p2", 400);
    Low.m_Body.insert(1, "\"priority\":3,");
    auto High = completionWithId("p3", 1);
    High.m_Body.insert(1, "\"priority\":1,");
    auto LowReply = callAsync(m_Port, Low);
    CPPUNIT_ASSERT(Waits(1));
    auto HighReply = callAsync(m_Port, High);
    CPPUNIT_ASSERT(Waits(2));
    // The request of higher priority overtakes the one that came before it.
    CPPUNIT_ASSERT(HighReply.get().isComplete());
    CPPUNIT_ASSERT_EQUAL(2, countersOf(m_Port).at("finished").to_number<int>());
    CPPUNIT_ASSERT(LowReply.get().isComplete());
    CPPUNIT_ASSERT(Busy.get().isComplete());
  }

  void testDelayedLoadAndCacheEvents() {
    auto EventCount = [&] {
      Reply Response =
          call(m_Port, makeRequest("GET", "/cache_events?after=0"));
      return boost::json::parse(Response.m_Body).at("events").as_array().size();
    };
    for (int I = 0; I < 3; ++I)
      CPPUNIT_ASSERT(
          call(m_Port, completionRequest(std::to_string(I), 1, false))
              .isComplete());
    // Three events "stored" and one "evicted": the cache holds two prefixes.
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), EventCount());
    controlStandIn(m_Port, {{"gap_every", 2}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), EventCount());
    controlStandIn(m_Port, {{"lag_ms", 3600000}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), EventCount());
    Reply Load = call(m_Port, makeRequest("GET", "/load"));
    CPPUNIT_ASSERT_EQUAL(std::string("{\"running\":0,\"waiting\":0}\n"),
                         Load.m_Body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ModelEngineTest);
