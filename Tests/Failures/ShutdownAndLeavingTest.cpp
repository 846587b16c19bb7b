//===-- ShutdownAndLeavingTest.cpp - Planned stops, leaving targets -------===//
//
// Guards against a planned stop that breaks off requests in progress, and
// against new requests to a target that is leaving.
//
//===----------------------------------------------------------------------===//
#include "Fleet.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <thread>

using namespace yardrill;
using namespace yardrill::tests;

class ShutdownAndLeavingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShutdownAndLeavingTest);
  CPPUNIT_TEST(testStopCompletesRequestsInProgress);
  CPPUNIT_TEST(testRepeatedSigtermCompletesRequestsInProgress);
  CPPUNIT_TEST(testSigintDuringStopAnswersOpenRequests);
  CPPUNIT_TEST(testUploadInProgressGetsAResponse);
  CPPUNIT_TEST(testLeadershipIsHandedOver);
  CPPUNIT_TEST(testTargetLeavesByInstanceList);
  CPPUNIT_TEST(testTargetLeavesByConfiguration);
  CPPUNIT_TEST_SUITE_END();

  static Fleet::Options fleetOptions(int Instances, int Engines) {
    Fleet::Options Out;
    Out.m_Instances = Instances;
    Out.m_Engines = Engines;
    return Out;
  }

  static int startedRequests(const Fleet &TestFleet, int Engine) {
    return countersOf(TestFleet.enginePort(Engine))
        .at("started")
        .to_number<int>();
  }

public:
  void testStopCompletesRequestsInProgress() {
    for (bool IsPlatformDown : {false, true}) {
      Fleet TestFleet(fleetOptions(3, 2));
      CPPUNIT_ASSERT(TestFleet.waitUntilServing());
      controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 3000}});
      std::vector<std::future<Reply>> Streams;
      std::vector<std::future<Reply>> Calls;
      for (int I = 0; I < 12; ++I) {
        Streams.push_back(callAsync(TestFleet.at(I % 3).m_CallerPort,
                                    completionRequest("long", 800, true)));
        auto Keyed = applicationRequest("/transfers", "k" + std::to_string(I));
        Keyed.m_Headers.set("Idempotency-Key", std::to_string(I));
        Calls.push_back(callAsync(TestFleet.at(I % 3).m_CallerPort, Keyed));
      }
      CPPUNIT_ASSERT(eventually([&] {
        auto Counters = countersOf(TestFleet.applicationPort());
        return startedRequests(TestFleet, 0) + startedRequests(TestFleet, 1) ==
                   12 &&
               Counters.at("calls").to_number<int>() == 12;
      }));
      if (IsPlatformDown)
        controlStandIn(TestFleet.platformPort(), {{"down", true}});
      // Two instances stop at the same time, then the last one.
      TestFleet.at(0).m_Process.signal(SIGTERM);
      TestFleet.at(1).m_Process.signal(SIGTERM);
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      TestFleet.at(2).m_Process.signal(SIGTERM);
      for (auto &Each : Streams) {
        Reply Response = Each.get();
        CPPUNIT_ASSERT_EQUAL(200U, Response.m_Status);
        CPPUNIT_ASSERT(Response.isComplete());
        CPPUNIT_ASSERT(Response.m_Body.find("[DONE]") != std::string::npos);
      }
      for (auto &Each : Calls)
        CPPUNIT_ASSERT_EQUAL(200U, Each.get().m_Status);
      for (int I = 0; I < 3; ++I)
        CPPUNIT_ASSERT_EQUAL(0, TestFleet.at(I).m_Process.wait());
      // A stopped instance accepts no new requests.
      CPPUNIT_ASSERT(
          !call(TestFleet.at(0).m_CallerPort, completionRequest("x", 1, false))
               .isComplete());
    }
  }

  void testRepeatedSigtermCompletesRequestsInProgress() {
    Fleet TestFleet(fleetOptions(1, 1));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 2000}});
    auto Keyed = applicationRequest("/transfers", "k");
    Keyed.m_Headers.set("Idempotency-Key", "1");
    auto Running = callAsync(TestFleet.at(0).m_CallerPort, Keyed);
    CPPUNIT_ASSERT(eventually([&] {
      return countersOf(TestFleet.applicationPort())
                 .at("calls")
                 .to_number<int>() == 1;
    }));
    for (int I = 0; I < 5; ++I) {
      TestFleet.at(0).m_Process.signal(SIGTERM);
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(200U, Running.get().m_Status);
    CPPUNIT_ASSERT_EQUAL(0, TestFleet.at(0).m_Process.wait());
  }

  void testSigintDuringStopAnswersOpenRequests() {
    Fleet::Options Options = fleetOptions(1, 1);
    Options.m_Slots = 1;
    Fleet TestFleet(Options);
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.applicationPort(), {{"delay_ms", 10000}});
    int Port = TestFleet.at(0).m_CallerPort;
    auto Keyed = applicationRequest("/transfers", "k");
    Keyed.m_Headers.set("Idempotency-Key", "1");
    auto Running = callAsync(Port, Keyed);
    CPPUNIT_ASSERT(eventually([&] {
      return countersOf(TestFleet.applicationPort())
                 .at("calls")
                 .to_number<int>() == 1;
    }));
    auto Waiting = callAsync(Port, applicationRequest("/holds", "w"));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    TestFleet.at(0).m_Process.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    TestFleet.at(0).m_Process.signal(SIGINT);
    Reply Broken = Running.get();
    CPPUNIT_ASSERT_EQUAL(502U, Broken.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("outcome-unknown"),
                         Broken.problem("outcome"));
    Reply Refused = Waiting.get();
    CPPUNIT_ASSERT_EQUAL(503U, Refused.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), Refused.problem("outcome"));
    CPPUNIT_ASSERT_EQUAL(1, TestFleet.at(0).m_Process.wait());
  }

  /// Guards against dropping a request that is still being received when the
  /// stop begins.
  void testUploadInProgressGetsAResponse() {
    namespace asio = boost::asio;
    Fleet TestFleet(fleetOptions(1, 1));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    auto Request = applicationRequest("/holds", "upload", "0123456789");
    std::string Text = "POST " + Request.m_Target + " HTTP/1.1\r\n";
    for (const http::Header &H : Request.m_Headers)
      Text += H.m_Name + ": " + H.m_Value + "\r\n";
    Text += "Content-Length: 10\r\n\r\n01234";
    asio::io_context Context;
    asio::ip::tcp::socket Socket(Context);
    Socket.connect({asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(TestFleet.at(0).m_CallerPort)});
    asio::write(Socket, asio::buffer(Text));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    TestFleet.at(0).m_Process.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    asio::write(Socket, asio::buffer(std::string("56789")));
    std::string Response;
    boost::system::error_code Failure;
    while (!Failure) {
      char Buffer[1024];
      Response.append(Buffer, Socket.read_some(asio::buffer(Buffer), Failure));
    }
    // The request may be served or refused as not run.
    CPPUNIT_ASSERT_MESSAGE(Response, Response.find("HTTP/1.1 200") == 0 ||
                                         Response.find("\"not-run\"") !=
                                             std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, TestFleet.at(0).m_Process.wait());
  }

  void testLeadershipIsHandedOver() {
    Fleet TestFleet(fleetOptions(2, 1));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    auto IsLeaderOfAnyPool = [&](int Index) {
      auto Status = TestFleet.status(Index);
      for (const auto &Pool : Status.at("pools").as_array())
        if (Pool.at("is_leader").as_bool())
          return true;
      return false;
    };
    // The instance list is stale: it still names both after one has stopped.
    for (int I = 0; I < 2; ++I) {
      std::string Name = "entry-" + std::to_string(I + 1);
      boost::json::object Entry{
          {"kind", "scheduler"},
          {"name", Name},
          {"address",
           "127.0.0.1:" + std::to_string(TestFleet.at(I).m_PeerPort)},
          {"state", "live"}};
      controlStandIn(
          TestFleet.platformPort(),
          {{"put",
            {{"key", "/platform/instances/" + Name}, {"value", Entry}}}});
    }
    int Leader = IsLeaderOfAnyPool(0) ? 0 : 1;
    TestFleet.at(Leader).m_Process.signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, TestFleet.at(Leader).m_Process.wait());
    CPPUNIT_ASSERT(eventually([&] {
      auto Status = TestFleet.status(1 - Leader);
      for (const auto &Pool : Status.at("pools").as_array())
        if (Pool.at("leader_phase").as_string() != "hold" ||
            Pool.at("floor_tier").to_number<int>() != 3)
          return false;
      return true;
    }));
    Reply Served = call(TestFleet.at(1 - Leader).m_CallerPort,
                        completionRequest("x", 2, false, "batch"));
    CPPUNIT_ASSERT_EQUAL(200U, Served.m_Status);
  }

  /// Sends rounds of requests until one starts nothing at engine 0, and checks
  /// that the next round doesn't either.
  static void expectNoNewRequests(Fleet &TestFleet) {
    auto HasNoNewRequests = [&] {
      int Before = startedRequests(TestFleet, 0);
      for (int I = 0; I < 40; ++I)
        CPPUNIT_ASSERT_EQUAL(200U, call(TestFleet.at(I % 2).m_CallerPort,
                                        completionRequest("after", 1, false))
                                       .m_Status);
      return startedRequests(TestFleet, 0) == Before;
    };
    CPPUNIT_ASSERT(eventually(HasNoNewRequests));
    CPPUNIT_ASSERT(HasNoNewRequests());
    CPPUNIT_ASSERT(startedRequests(TestFleet, 1) > 0);
  }

  void testTargetLeavesByInstanceList() {
    Fleet TestFleet(fleetOptions(2, 2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    std::vector<std::future<Reply>> Streams;
    for (int I = 0; I < 8; ++I)
      Streams.push_back(callAsync(TestFleet.at(I % 2).m_CallerPort,
                                  completionRequest("long", 300, true)));
    CPPUNIT_ASSERT(
        eventually([&] { return startedRequests(TestFleet, 0) > 0; }));
    boost::json::object Entry{
        {"kind", "target"},
        {"name", "engine-1"},
        {"address", "127.0.0.1:" + std::to_string(TestFleet.enginePort(0))},
        {"state", "leaving"}};
    controlStandIn(TestFleet.platformPort(),
                   {{"put",
                     {{"key", "/platform/instances/engine-1"},
                      {"value", Entry},
                      {"lag_ms", 500}}}});
    expectNoNewRequests(TestFleet);
    // Requests in progress at the leaving target are completed.
    for (auto &Each : Streams)
      CPPUNIT_ASSERT(Each.get().isComplete());
    // The target stays leaving while the platform is down.
    controlStandIn(TestFleet.platformPort(), {{"down", true}});
    expectNoNewRequests(TestFleet);
  }

  void testTargetLeavesByConfiguration() {
    Fleet TestFleet(fleetOptions(2, 2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    CPPUNIT_ASSERT_EQUAL(
        200U,
        TestFleet.publish(0, 1, "leave", TestFleet.configuration("engine-1"))
            .m_Status);
    expectNoNewRequests(TestFleet);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownAndLeavingTest);
