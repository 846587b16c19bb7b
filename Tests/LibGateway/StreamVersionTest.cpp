//===-- StreamVersionTest.cpp - Versions of resumed streams ---------------===//
//
// Guards against a stream that goes on at a target of another version than the
// one that began it, and against streams that could go on and don't.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class StreamVersionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamVersionTest);
  CPPUNIT_TEST(testStreamLeftByItsCallerKeepsItsVersion);
  CPPUNIT_TEST(testStreamOfAKilledInstanceKeepsItsVersion);
  CPPUNIT_TEST(testStreamsKeepTheirVersionsWhenAllInstancesRestart);
  CPPUNIT_TEST(testStreamWhoseTargetExitsKeepsItsVersion);
  CPPUNIT_TEST(testStreamOfAnUnknownVersionDoesNotGoOn);
  CPPUNIT_TEST(testStreamGoesOnWhileOneVersionServes);
  CPPUNIT_TEST(testStreamBegunBeforeAnotherVersionKeepsItsVersion);
  CPPUNIT_TEST(testStreamOfAKilledInstanceGoesOnWithoutTheStore);
  CPPUNIT_TEST(testThirdAttemptKeepsTheFirstVersion);
  CPPUNIT_TEST(testForwardedStreamKeepsItsVersion);
  CPPUNIT_TEST(testStreamWhoseVersionIsGoneIsRefusedAtOnce);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Gateways = 4;
  static constexpr std::size_t Targets = 6;
  static constexpr std::size_t Streams = 16;

  /// What one caller received of a stream, over all its attempts.
  struct Stream {
    std::string m_FirstAttempt;
    std::vector<std::string> m_Versions; ///< One for each event.
    bool m_HasGoneOn = false;

    bool isOfOneVersion() const {
      return std::all_of(
          m_Versions.begin(), m_Versions.end(),
          [this](const auto &Each) { return Each == m_Versions.front(); });
    }
  };

  /// Returns the versions of the events in a body.
  static std::vector<std::string> versionsIn(const std::string &Body) {
    static const std::string Field = "data: ";
    std::vector<std::string> Out;
    for (std::size_t At = Body.find(Field); At != std::string::npos;
         At = Body.find(Field, At)) {
      At += Field.size();
      Out.push_back(Body.substr(At, Body.find('\n', At) - At));
    }
    return Out;
  }
  /// Starts a fleet in which every other target has another version.
  static void startMixed(GatewayFleet &Fleet) {
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    Fleet.runOnTargetThread([&] {
      for (std::size_t I = 1; I < Targets; I += 2)
        Fleet.target(I).setVersion("v2");
    });
    std::this_thread::sleep_for(milliseconds(300));
  }
  /// Begins a stream and leaves it after its first event if \p OnFirst returns
  /// false; else reads it until it ends.
  static Stream begin(GatewayFleet &Fleet, std::size_t Gateway,
                      const std::string &Body,
                      const std::function<bool()> &OnFirst) {
    Stream Out;
    http::RequestMessage Request =
        GatewayFleet::request(VersionedStreamPath, Body);
    Out.m_FirstAttempt = *Request.m_Headers.find("Attempt-Id");
    Reply Received = call(Fleet.callerPort(Gateway), Request,
                          [&](const std::string &) { return OnFirst(); });
    Out.m_Versions = versionsIn(Received.m_Body);
    return Out;
  }
  static void resume(GatewayFleet &Fleet, std::size_t Gateway,
                     const std::string &Body, Stream &Current) {
    http::RequestMessage Request =
        GatewayFleet::request(VersionedStreamPath, Body);
    Request.m_Headers.set("Last-Event-Id",
                          std::to_string(Current.m_Versions.size()));
    Request.m_Headers.set("Resumes", Current.m_FirstAttempt);
    Reply Received = call(Fleet.callerPort(Gateway), Request);
    std::vector<std::string> Further = versionsIn(Received.m_Body);
    Current.m_HasGoneOn = Received.m_Status == 200 && !Further.empty();
    Current.m_Versions.insert(Current.m_Versions.end(), Further.begin(),
                              Further.end());
  }
  /// Begins streams in turn at the first \p Count gateways. Returns when each
  /// has had its first event; they are read until they end.
  static std::vector<std::future<Stream>> beginAll(GatewayFleet &Fleet,
                                                   std::size_t Count) {
    auto Begun = std::make_shared<std::atomic<std::size_t>>(0);
    std::vector<std::future<Stream>> Out;
    for (std::size_t I = 0; I < Streams; ++I)
      Out.push_back(std::async(std::launch::async, [&Fleet, Begun, Count, I] {
        return begin(Fleet, I % Count, bodyOf(I), [Begun] {
          ++*Begun;
          return true;
        });
      }));
    CPPUNIT_ASSERT(eventually([&] { return *Begun == Streams; }));
    return Out;
  }
  /// Begins streams at gateway 0 and kills it \p Delay after their first
  /// events; calls \p Meanwhile before that.
  static std::vector<Stream>
  beginAndKill(GatewayFleet &Fleet, milliseconds Delay,
               const std::function<void()> &Meanwhile = nullptr) {
    std::vector<std::future<Stream>> Calls = beginAll(Fleet, 1);
    if (Meanwhile)
      Meanwhile();
    std::this_thread::sleep_for(Delay);
    Fleet.kill(0);
    std::vector<Stream> Out;
    for (auto &Each : Calls) {
      Out.push_back(Each.get());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Out.back().m_Versions.size());
    }
    return Out;
  }
  static void resumeElsewhere(GatewayFleet &Fleet, std::vector<Stream> &All) {
    for (std::size_t I = 0; I < All.size(); ++I)
      resume(Fleet, 1 + I % (Gateways - 1), bodyOf(I), All[I]);
  }
  static std::string bodyOf(std::size_t Number) {
    return "stream " + std::to_string(Number);
  }
  static std::size_t goneOn(const std::vector<Stream> &All) {
    return static_cast<std::size_t>(
        std::count_if(All.begin(), All.end(),
                      [](const Stream &Each) { return Each.m_HasGoneOn; }));
  }
  static void assertEachKeepsItsVersion(const std::vector<Stream> &All) {
    std::size_t OfTwoVersions = 0;
    for (const Stream &Each : All) {
      CPPUNIT_ASSERT(!Each.m_Versions.empty());
      OfTwoVersions += Each.isOfOneVersion() ? 0 : 1;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), OfTwoVersions);
    CPPUNIT_ASSERT(2 * goneOn(All) >= All.size());
  }

public:
  void testStreamLeftByItsCallerKeepsItsVersion() {
    GatewayFleet Fleet(Gateways, Targets);
    startMixed(Fleet);
    std::vector<Stream> All;
    for (std::size_t I = 0; I < Streams; ++I)
      All.push_back(begin(Fleet, 0, bodyOf(I), [] { return false; }));
    resumeElsewhere(Fleet, All);
    assertEachKeepsItsVersion(All);
  }

  void testStreamOfAKilledInstanceKeepsItsVersion() {
    GatewayFleet Fleet(Gateways, Targets);
    startMixed(Fleet);
    std::vector<Stream> All = beginAndKill(Fleet, milliseconds(0));
    resumeElsewhere(Fleet, All);
    assertEachKeepsItsVersion(All);
  }

  void testStreamsKeepTheirVersionsWhenAllInstancesRestart() {
    GatewayFleet Fleet(Gateways, Targets);
    startMixed(Fleet);
    std::vector<std::future<Stream>> Calls = beginAll(Fleet, Gateways);
    std::this_thread::sleep_for(milliseconds(900));
    std::vector<Stream> All;
    // A second loss within seconds.
    for (int I = 0; I < 2; ++I) {
      Fleet.killAll();
      Fleet.startAll();
      CPPUNIT_ASSERT(Fleet.waitUntilReady());
      std::this_thread::sleep_for(milliseconds(700));
    }
    for (auto &Each : Calls)
      All.push_back(Each.get());
    resumeElsewhere(Fleet, All);
    assertEachKeepsItsVersion(All);
  }

  void testStreamWhoseTargetExitsKeepsItsVersion() {
    GatewayFleet Fleet(Gateways, Targets);
    startMixed(Fleet);
    std::vector<std::future<Stream>> Calls = beginAll(Fleet, Gateways);
    Fleet.runOnTargetThread([&] {
      for (std::size_t I : {0, 1, 2, 3})
        Fleet.target(I).simulateExit();
    });
    std::vector<Stream> All;
    for (auto &Each : Calls) {
      All.push_back(Each.get());
      All.back().m_HasGoneOn = All.back().m_Versions.size() > 1;
    }
    assertEachKeepsItsVersion(All);
  }

  void testStreamOfAnUnknownVersionDoesNotGoOn() {
    GatewayFleet Fleet(Gateways, Targets);
    startMixed(Fleet);
    Stream Unknown;
    Unknown.m_FirstAttempt = "never-seen";
    Unknown.m_Versions = {"v1"};
    resume(Fleet, 0, "stream", Unknown);
    CPPUNIT_ASSERT(!Unknown.m_HasGoneOn);
  }

  void testStreamGoesOnWhileOneVersionServes() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    std::vector<Stream> All = beginAndKill(Fleet, milliseconds(0));
    resumeElsewhere(Fleet, All);
    CPPUNIT_ASSERT_EQUAL(Streams, goneOn(All));
  }

  void testStreamBegunBeforeAnotherVersionKeepsItsVersion() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    std::vector<Stream> All = beginAndKill(Fleet, milliseconds(400), [&] {
      Fleet.runOnTargetThread([&] {
        for (std::size_t I = 1; I < Targets; I += 2)
          Fleet.target(I).setVersion("v2");
      });
    });
    resumeElsewhere(Fleet, All);
    assertEachKeepsItsVersion(All);
  }

  void testStreamOfAKilledInstanceGoesOnWithoutTheStore() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    std::vector<Stream> All = beginAndKill(
        Fleet, milliseconds(800), [&] { Fleet.store().setDown(true); });
    resumeElsewhere(Fleet, All);
    assertEachKeepsItsVersion(All);
    Stream Unknown;
    Unknown.m_FirstAttempt = "never-seen";
    Unknown.m_Versions = {"v1"};
    resume(Fleet, 1, "stream", Unknown);
    CPPUNIT_ASSERT(!Unknown.m_HasGoneOn);
  }

  void testThirdAttemptKeepsTheFirstVersion() {
    GatewayFleet Fleet(Gateways, Targets);
    startMixed(Fleet);
    std::vector<Stream> All = beginAndKill(Fleet, milliseconds(0));
    resumeElsewhere(Fleet, All);
    Fleet.kill(1);
    for (std::size_t I = 0; I < All.size(); ++I)
      resume(Fleet, 2 + I % (Gateways - 2), bodyOf(I), All[I]);
    assertEachKeepsItsVersion(All);
  }

  void testForwardedStreamKeepsItsVersion() {
    GatewayFleet Fleet(Gateways, Targets, true);
    startMixed(Fleet);
    Fleet.setLinks(0, ProxyMode::Closed);
    Fleet.resetLinks(0);
    CPPUNIT_ASSERT(eventually([&] {
      Fleet.send(0, "/again/x", "");
      return Fleet.metric(0, "yardrill_forwarded_requests_total") > 0;
    }));
    std::vector<Stream> All;
    for (std::size_t I = 0; I < Streams; ++I)
      All.push_back(begin(Fleet, 0, bodyOf(I), [] { return false; }));
    for (std::size_t I = 0; I < Streams; ++I)
      resume(Fleet, I % Gateways, bodyOf(I), All[I]);
    assertEachKeepsItsVersion(All);
  }

  void testStreamWhoseVersionIsGoneIsRefusedAtOnce() {
    GatewayFleet Fleet(Gateways, Targets);
    startMixed(Fleet);
    std::vector<Stream> All = beginAndKill(Fleet, milliseconds(0));
    Fleet.runOnTargetThread([&] {
      for (std::size_t I = 1; I < Targets; I += 2)
        Fleet.target(I).announceLeaving();
    });
    std::this_thread::sleep_for(milliseconds(300));
    core::TimePoint Begin = core::steadyNow();
    resumeElsewhere(Fleet, All);
    CPPUNIT_ASSERT(core::steadyNow() - Begin < std::chrono::seconds(4));
    for (const Stream &Each : All)
      CPPUNIT_ASSERT_EQUAL(Each.m_Versions.front() == "v1", Each.m_HasGoneOn);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamVersionTest);
