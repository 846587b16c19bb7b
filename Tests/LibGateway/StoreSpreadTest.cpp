//===-- StoreSpreadTest.cpp - Propagation of changes to all instances -----===//
//
// Guards against large values that delay other changes, such as a target that
// leaves, until their transfer has ended, and against a few followers whose
// links carry a large value to the whole fleet.
//
//===----------------------------------------------------------------------===//
#include "MirrorFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace yardrill;
using namespace yardrill::tests;
using namespace std::chrono_literals;
using platform::Entry;
using platform::Revision;

namespace {

/// Size of a configuration of 2,840 routes.
constexpr std::size_t LargeBytes = 520000;
const char ConfigurationKey[] = "configuration";
const char TargetKey[] = "target";

/// Returns text that hardly compresses.
std::string randomText(std::size_t Size, unsigned Seed) {
  static const char Letters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::mt19937 Random(Seed);
  std::string Out(Size, ' ');
  for (char &Each : Out)
    Each = Letters[Random() % 64];
  return Out;
}

Entry put(const char *Key, std::string Value, std::int64_t At) {
  return {Key, std::move(Value), Revision(At), false};
}

} // namespace

class StoreSpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreSpreadTest);
  CPPUNIT_TEST(testLargeValueReachesAllInTime);
  CPPUNIT_TEST(testSmallChangeOvertakesLargeValue);
  CPPUNIT_TEST(testSmallChangeOfALargeValueCostsLittle);
  CPPUNIT_TEST(testSupersededValuesAreNotSent);
  CPPUNIT_TEST(testChangesInQuickSuccessionReachAll);
  CPPUNIT_TEST(testNewInstanceLoadsFromPeers);
  CPPUNIT_TEST_SUITE_END();

  MirrorFleet m_Fleet;

  /// Starts \p Count instances with the same content, at revision 10.
  void start(std::size_t Count, const std::string &Configuration) {
    for (std::size_t I = 0; I < Count; ++I)
      m_Fleet.add(Revision(10), {put(ConfigurationKey, Configuration, 9),
                                 put(TargetKey, "ready", 10)});
    m_Fleet.start();
  }
  void change(std::size_t Member, Entry Update) {
    Revision At = Update.m_ModRevision;
    m_Fleet.instance(Member).mirror().apply(At, {std::move(Update)});
  }
  std::chrono::milliseconds
  timeUntilAllHold(const char *Key, std::int64_t At,
                   std::chrono::milliseconds Timeout) {
    return m_Fleet.runUntil(
        [&] { return m_Fleet.haveAllDelivered(Key, Revision(At)); }, Timeout);
  }
  static void assertShorter(std::chrono::milliseconds Took,
                            std::chrono::milliseconds Bound) {
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Took.count()) + " ms, bound " +
                               std::to_string(Bound.count()) + " ms",
                           Took < Bound);
  }
  static void assertFewer(std::size_t Bytes, std::size_t Bound) {
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Bytes) + " bytes, bound " +
                               std::to_string(Bound),
                           Bytes < Bound);
  }

public:
  /// If one source sent the value to all 23 others, its link would need 9.6 s
  /// for 12 MB; the bound requires that receivers forward it.
  void testLargeValueReachesAllInTime() {
    start(24, "");
    for (std::size_t I = 0; I < m_Fleet.size(); ++I)
      m_Fleet.instance(I).link().limitResponseRate(SmallLinkRate);
    change(0, put(ConfigurationKey, randomText(LargeBytes, 1), 11));
    assertShorter(timeUntilAllHold(ConfigurationKey, 11, 12s), 5000ms);
  }

  /// The transfer of the large value alone takes five seconds.
  void testSmallChangeOvertakesLargeValue() {
    start(2, "");
    m_Fleet.instance(0).link().limitResponseRate(LargeBytes / 5.0);
    change(0, put(ConfigurationKey, randomText(LargeBytes, 2), 11));
    m_Fleet.runFor(300ms);
    change(0, put(TargetKey, "leaving", 12));
    assertShorter(timeUntilAllHold(TargetKey, 12, 8s), 1000ms);
    CPPUNIT_ASSERT(!m_Fleet.haveAllDelivered(ConfigurationKey, Revision(11)));
    assertShorter(timeUntilAllHold(ConfigurationKey, 11, 12s), 10000ms);
  }

  void testSmallChangeOfALargeValueCostsLittle() {
    std::string Text = randomText(LargeBytes, 3);
    start(2, Text);
    Text.replace(LargeBytes / 2, 4, "5000");
    Text.insert(LargeBytes / 3, "one more");
    change(0, put(ConfigurationKey, Text, 11));
    assertShorter(timeUntilAllHold(ConfigurationKey, 11, 5s), 2000ms);
    assertFewer(m_Fleet.instance(0).bytesSent(), 4096);
  }

  void testSupersededValuesAreNotSent() {
    start(1, "");
    for (int I = 0; I < 20; ++I)
      change(0, put(ConfigurationKey, randomText(LargeBytes, 4), 11 + I));
    m_Fleet.add(Revision(10), {put(ConfigurationKey, "", 9)});
    assertShorter(timeUntilAllHold(ConfigurationKey, 30, 5s), 4000ms);
    assertFewer(m_Fleet.instance(0).bytesSent(), LargeBytes * 3 / 2);
  }

  /// Each value takes longer to transfer than until the next change. Values
  /// that arrive are older than the pending ones, but newer than the one in
  /// force.
  void testChangesInQuickSuccessionReachAll() {
    start(3, "");
    for (std::size_t I = 0; I < m_Fleet.size(); ++I)
      m_Fleet.instance(I).link().limitResponseRate(SmallLinkRate);
    for (unsigned I = 0; I < 12; ++I) {
      change(0, put(ConfigurationKey, randomText(LargeBytes, I), 11 + I));
      m_Fleet.runFor(200ms);
      if (I >= 8) // Enough time for two consecutive transfers.
        CPPUNIT_ASSERT(
            m_Fleet.haveAllDelivered(ConfigurationKey, Revision(12)));
    }
    assertShorter(timeUntilAllHold(ConfigurationKey, 22, 8s), 3000ms);
  }

  void testNewInstanceLoadsFromPeers() {
    start(2, randomText(LargeBytes, 5));
    m_Fleet.add(Revision(), {});
    assertShorter(timeUntilAllHold(ConfigurationKey, 9, 5s), 2000ms);
    CPPUNIT_ASSERT(m_Fleet.haveAllDelivered(TargetKey, Revision(10)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreSpreadTest);
