//===-- PromptPartTest.cpp - Parts of prompts that make targets exit ------===//
//
// Guards against requests of which no two are alike, but that share a part of
// their prompt under which every target exits, and against refusals of other
// requests that share the rest with them.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class PromptPartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromptPartTest);
  CPPUNIT_TEST(testPartStopsFewTargets);
  CPPUNIT_TEST(testPartInStreamsStopsFewTargets);
  CPPUNIT_TEST(testRequestsThatShareOtherPartsAreServed);
  CPPUNIT_TEST(testRestartedInstanceKnowsThePart);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Gateways = 3;
  static constexpr std::size_t Targets = 6;
  /// The users' bounds: sends later than some time after the fifth exit.
  static constexpr std::size_t MaxExits = 5;
  static constexpr std::size_t MaxLateArrivals = 3;

  /// Sends a request whose body and last part nobody else sends.
  static unsigned send(GatewayFleet &Fleet, std::size_t Gateway,
                       const std::string &Path, const std::string &Parts) {
    static std::atomic<int> Next{1};
    std::string Own = std::to_string(Next++);
    http::RequestMessage Request =
        GatewayFleet::request(Path, "request " + Own);
    Request.m_Headers.set("Prefix-Hash", Parts + ",aa" + Own + ":20");
    return call(Fleet.callerPort(Gateway), Request).m_Status;
  }
  static std::string harmful() {
    return "c0ffee:60," + std::string(ExitPromptPart) + ":400,beef:80";
  }
  static void sendHarmful(GatewayFleet &Fleet, const std::string &Path,
                          std::size_t Times) {
    for (std::size_t I = 0; I < Times; ++I) {
      send(Fleet, I % Gateways, Path, harmful());
      std::this_thread::sleep_for(milliseconds(100));
    }
  }
  static void assertFewExits(GatewayFleet &Fleet) {
    CPPUNIT_ASSERT(Fleet.exits() >= 3);
    CPPUNIT_ASSERT(Fleet.exitPartArrivalsAfter(MaxExits, milliseconds(0)) <=
                   MaxLateArrivals);
  }

public:
  void testPartStopsFewTargets() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    sendHarmful(Fleet, "/again/x", 24);
    assertFewExits(Fleet);
    CPPUNIT_ASSERT_EQUAL(503U, send(Fleet, 0, "/again/x", harmful()));
    CPPUNIT_ASSERT_EQUAL(200U, send(Fleet, 0, "/again/x", "feed:400"));
  }

  void testPartInStreamsStopsFewTargets() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    sendHarmful(Fleet, "/stream/x", 24);
    assertFewExits(Fleet);
  }

  void testRequestsThatShareOtherPartsAreServed() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    // Shared parts that nobody has sent before come beside the harmful one.
    sendHarmful(Fleet, "/again/x", 12);
    std::this_thread::sleep_for(ExitingTarget::DownTime);
    std::size_t Served = 0;
    static constexpr std::size_t Sent = 40;
    for (std::size_t I = 0; I < Sent; ++I) {
      const char *Parts = I % 2 == 0 ? "c0ffee:60" : "c0ffee:60,beef:80";
      Served += send(Fleet, I % Gateways, "/again/x", Parts) == 200 ? 1 : 0;
      if (I % 4 == 0)
        send(Fleet, I % Gateways, "/again/x", harmful());
    }
    CPPUNIT_ASSERT(2 * Served >= Sent);
    assertFewExits(Fleet);
  }

  void testRestartedInstanceKnowsThePart() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    sendHarmful(Fleet, "/again/x", 6);
    Fleet.kill(0);
    Fleet.start(0);
    CPPUNIT_ASSERT(eventually(
        [&] { return Fleet.metric(0, "yardrill_quarantined_contents") > 0; }));
    for (int I = 0; I < 6; ++I)
      CPPUNIT_ASSERT_EQUAL(503U, send(Fleet, 0, "/again/x", harmful()));
    assertFewExits(Fleet);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptPartTest);
