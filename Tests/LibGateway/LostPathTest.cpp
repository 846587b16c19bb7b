//===-- LostPathTest.cpp - Instances without a path to the targets --------===//
//
// Guards against callers that are refused by an instance that lost its path to
// all targets, while its peers reach them.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class LostPathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostPathTest);
  CPPUNIT_TEST(testServedWhileLinksAreSilent);
  CPPUNIT_TEST(testServedWhileLinksReset);
  CPPUNIT_TEST(testServedWhileOpenConnectionsLiveOn);
  CPPUNIT_TEST(testServedWhileAllButOneAreCut);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Gateways = 3;
  static constexpr std::size_t Targets = 4;
  /// Time after the cut from which callers must be served as elsewhere.
  static constexpr milliseconds NoticeTime{3000};
  static constexpr milliseconds Interval{40};
  static constexpr milliseconds Objective{300};

  /// Sends requests in turn to the first \p Count gateways for \p Time.
  /// \returns the share served in time.
  static double servedFor(GatewayFleet &Fleet, std::size_t Count,
                          milliseconds Time) {
    core::TimePoint End = core::steadyNow() + Time;
    std::vector<std::future<bool>> Calls;
    for (int I = 0; core::steadyNow() < End; ++I) {
      const char *Path = I % 2 == 0 ? "/once/x" : "/again/x";
      std::size_t Gateway = static_cast<std::size_t>(I) % Count;
      Calls.push_back(std::async(std::launch::async, [&Fleet, Gateway, Path] {
        core::TimePoint Begin = core::steadyNow();
        Reply Received = Fleet.send(Gateway, Path, "");
        return Received.m_Status == 200 &&
               core::steadyNow() - Begin < Objective;
      }));
      std::this_thread::sleep_for(Interval);
    }
    double Served = 0;
    for (auto &Each : Calls)
      Served += Each.get() ? 1 : 0;
    return Served / static_cast<double>(Calls.size());
  }
  /// Cuts the first \p Count gateways off and asserts that their callers are
  /// served from NoticeTime on.
  static void assertServed(std::size_t Count, ProxyMode Mode, bool IsReset) {
    GatewayFleet Fleet(Gateways, Targets, true);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    CPPUNIT_ASSERT(servedFor(Fleet, Gateways, milliseconds(1000)) > 0.95);
    for (std::size_t I = 0; I < Count; ++I) {
      Fleet.setLinks(I, Mode);
      if (IsReset)
        Fleet.resetLinks(I);
    }
    servedFor(Fleet, Count, NoticeTime);
    double Served = servedFor(Fleet, Count, milliseconds(2000));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Served), Served > 0.95);
  }

public:
  void testServedWhileLinksAreSilent() {
    assertServed(1, ProxyMode::Silent, false);
  }
  void testServedWhileLinksReset() { assertServed(1, ProxyMode::Closed, true); }
  void testServedWhileOpenConnectionsLiveOn() {
    assertServed(1, ProxyMode::Closed, false);
  }
  void testServedWhileAllButOneAreCut() {
    assertServed(Gateways - 1, ProxyMode::Silent, false);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostPathTest);
