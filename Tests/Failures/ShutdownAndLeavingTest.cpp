//===-- ShutdownAndLeavingTest.cpp - Planned stops and leaving targets
//----------===//
//
// Brief, "What must always hold": a planned stop cuts no request in progress;
// a target that is leaving receives no new work after a few seconds.
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
  CPPUNIT_TEST(testUploadInProgressGetsAResponse);
  CPPUNIT_TEST(testLeadershipIsHandedOver);
  CPPUNIT_TEST(testTargetLeavesByInstanceList);
  CPPUNIT_TEST(testTargetLeavesByConfiguration);
  CPPUNIT_TEST_SUITE_END();

  static Fleet::Options shape(int Instances, int Engines) {
    Fleet::Options Out;
    Out.m_Instances = Instances;
    Out.m_Engines = Engines;
    return Out;
  }

  static int startedAt(const Fleet &All, int Engine) {
    return countersOf(All.enginePort(Engine)).at("started").to_number<int>();
  }

public:
  void testStopCompletesRequestsInProgress() {
    for (bool IsPlatformDown : {false, true}) {
      Fleet All(shape(3, 2));
      CPPUNIT_ASSERT(All.waitUntilServing());
      controlStandIn(All.applicationPort(), {{"delay_ms", 3000}});
      std::vector<std::future<Reply>> Streams;
      std::vector<std::future<Reply>> Calls;
      for (int I = 0; I < 12; ++I) {
        Streams.push_back(callAsync(All.at(I % 3).m_CallerPort,
                                    completionRequest("long", 800, true)));
        auto Keyed = applicationRequest("/transfers", "k" + std::to_string(I));
        Keyed.m_Headers.set("Idempotency-Key", std::to_string(I));
        Calls.push_back(callAsync(All.at(I % 3).m_CallerPort, Keyed));
      }
      CPPUNIT_ASSERT(eventually([&] {
        auto Counters = countersOf(All.applicationPort());
        return startedAt(All, 0) + startedAt(All, 1) == 12 &&
               Counters.at("calls").to_number<int>() == 12;
      }));
      if (IsPlatformDown)
        controlStandIn(All.platformPort(), {{"down", true}});
      // Two are stopped together, then the last.
      All.at(0).m_Process.signal(SIGTERM);
      All.at(1).m_Process.signal(SIGTERM);
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      All.at(2).m_Process.signal(SIGTERM);
      for (auto &Each : Streams) {
        Reply Answer = Each.get();
        CPPUNIT_ASSERT_EQUAL(200U, Answer.m_Status);
        CPPUNIT_ASSERT(Answer.isComplete());
        CPPUNIT_ASSERT(Answer.m_Body.find("[DONE]") != std::string::npos);
      }
      for (auto &Each : Calls)
        CPPUNIT_ASSERT_EQUAL(200U, Each.get().m_Status);
      for (int I = 0; I < 3; ++I)
        CPPUNIT_ASSERT_EQUAL(0, All.at(I).m_Process.wait());
      // Stopped means that nothing new is accepted.
      CPPUNIT_ASSERT(
          !call(All.at(0).m_CallerPort, completionRequest("x", 1, false))
               .isComplete());
    }
  }

  /// A request whose bytes are still coming in when the stop begins.
  void testUploadInProgressGetsAResponse() {
    namespace asio = boost::asio;
    Fleet All(shape(1, 1));
    CPPUNIT_ASSERT(All.waitUntilServing());
    auto Request = applicationRequest("/holds", "upload", "0123456789");
    std::string Text = "POST " + Request.m_Target + " HTTP/1.1\r\n";
    for (const http::Header &H : Request.m_Headers)
      Text += H.m_Name + ": " + H.m_Value + "\r\n";
    Text += "Content-Length: 10\r\n\r\n01234";
    asio::io_context Context;
    asio::ip::tcp::socket Socket(Context);
    Socket.connect({asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(All.at(0).m_CallerPort)});
    asio::write(Socket, asio::buffer(Text));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    All.at(0).m_Process.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    asio::write(Socket, asio::buffer(std::string("56789")));
    std::string Answer;
    boost::system::error_code Failure;
    while (!Failure) {
      char Buffer[1024];
      Answer.append(Buffer, Socket.read_some(asio::buffer(Buffer), Failure));
    }
    // Served or refused as not run, but answered.
    CPPUNIT_ASSERT_MESSAGE(Answer,
                           Answer.find("HTTP/1.1 200") == 0 ||
                               Answer.find("\"not-run\"") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(0, All.at(0).m_Process.wait());
  }

  void testLeadershipIsHandedOver() {
    Fleet All(shape(2, 1));
    CPPUNIT_ASSERT(All.waitUntilServing());
    auto LeadsAny = [&](int Index) {
      auto Status = All.status(Index);
      for (const auto &Pool : Status.at("pools").as_array())
        if (Pool.at("is_leader").as_bool())
          return true;
      return false;
    };
    // The list lags: it still has both long after one has stopped.
    for (int I = 0; I < 2; ++I) {
      std::string Name = "entry-" + std::to_string(I + 1);
      boost::json::object Entry{
          {"kind", "scheduler"},
          {"name", Name},
          {"address", "127.0.0.1:" + std::to_string(All.at(I).m_PeerPort)},
          {"state", "live"}};
      controlStandIn(
          All.platformPort(),
          {{"put",
            {{"key", "/platform/instances/" + Name}, {"value", Entry}}}});
    }
    int Leader = LeadsAny(0) ? 0 : 1;
    All.at(Leader).m_Process.signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, All.at(Leader).m_Process.wait());
    CPPUNIT_ASSERT(eventually([&] {
      auto Status = All.status(1 - Leader);
      for (const auto &Pool : Status.at("pools").as_array())
        if (Pool.at("leader_phase").as_string() != "hold" ||
            Pool.at("floor_tier").to_number<int>() != 3)
          return false;
      return true;
    }));
    Reply Served = call(All.at(1 - Leader).m_CallerPort,
                        completionRequest("x", 2, false, "batch"));
    CPPUNIT_ASSERT_EQUAL(200U, Served.m_Status);
  }

  /// Sends work until engine 0 has had none for a while.
  static void expectNoNewRequests(Fleet &All) {
    auto IsQuiet = [&] {
      int Before = startedAt(All, 0);
      for (int I = 0; I < 40; ++I)
        CPPUNIT_ASSERT_EQUAL(200U, call(All.at(I % 2).m_CallerPort,
                                        completionRequest("after", 1, false))
                                       .m_Status);
      return startedAt(All, 0) == Before;
    };
    CPPUNIT_ASSERT(eventually(IsQuiet));
    CPPUNIT_ASSERT(IsQuiet());
    CPPUNIT_ASSERT(startedAt(All, 1) > 0);
  }

  void testTargetLeavesByInstanceList() {
    Fleet All(shape(2, 2));
    CPPUNIT_ASSERT(All.waitUntilServing());
    std::vector<std::future<Reply>> Streams;
    for (int I = 0; I < 8; ++I)
      Streams.push_back(callAsync(All.at(I % 2).m_CallerPort,
                                  completionRequest("long", 300, true)));
    CPPUNIT_ASSERT(eventually([&] { return startedAt(All, 0) > 0; }));
    boost::json::object Entry{
        {"kind", "target"},
        {"name", "engine-1"},
        {"address", "127.0.0.1:" + std::to_string(All.enginePort(0))},
        {"state", "leaving"}};
    controlStandIn(All.platformPort(),
                   {{"put",
                     {{"key", "/platform/instances/engine-1"},
                      {"value", Entry},
                      {"lag_ms", 500}}}});
    expectNoNewRequests(All);
    // What was in progress there is not cut.
    for (auto &Each : Streams)
      CPPUNIT_ASSERT(Each.get().isComplete());
    // With the platform down, what was heard stays in force.
    controlStandIn(All.platformPort(), {{"down", true}});
    expectNoNewRequests(All);
  }

  void testTargetLeavesByConfiguration() {
    Fleet All(shape(2, 2));
    CPPUNIT_ASSERT(All.waitUntilServing());
    CPPUNIT_ASSERT_EQUAL(
        200U,
        All.publish(0, 1, "leave", All.configuration("engine-1")).m_Status);
    expectNoNewRequests(All);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownAndLeavingTest);
