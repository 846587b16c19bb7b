//===-- GossipTest.cpp - Exchange of the quarantine -----------------------===//
#include "LibQuarantine/Gossip.h"
#include "LibQuarantine/QuarantineFormat.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::quarantine;
using std::chrono::milliseconds;
using std::chrono::seconds;

class GossipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipTest);
  CPPUNIT_TEST(testExitsAtThreeInstancesAddUp);
  CPPUNIT_TEST(testBroadcastsRepeatedly);
  CPPUNIT_TEST(testGossipsUntilStored);
  CPPUNIT_TEST(testStoreOutlastsAllInstances);
  CPPUNIT_TEST(testClearedContentReachesLateReplicas);
  CPPUNIT_TEST(testPopularContentIsNotRewritten);
  CPPUNIT_TEST(testTextIsReadAsWritten);
  CPPUNIT_TEST(testRejectsMalformedText);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now = core::steadyNow();
  const ContentDigest m_Content{1, 2};
  std::size_t m_BroadcastCount = 0;
  std::size_t m_SampleSendCount = 0;

  GossipHooks countingHooks() {
    GossipHooks Out;
    Out.m_Broadcast = [this](const auto &) { ++m_BroadcastCount; };
    Out.m_SendToSample = [this](const auto &) { ++m_SampleSendCount; };
    return Out;
  }
  void advanceTime(Gossip &Tested, milliseconds Time) {
    for (milliseconds Step(0); Step < Time; Step += milliseconds(50))
      Tested.upkeep(m_Now += milliseconds(50));
  }

public:
  /// Each instance sees only one of the three exits.
  void testExitsAtThreeInstancesAddUp() {
    std::vector<Observation> Received;
    GossipHooks Hooks = countingHooks();
    Hooks.m_Broadcast = [&](const std::vector<Observation> &Seen) {
      Received.insert(Received.end(), Seen.begin(), Seen.end());
    };
    Gossip A(Hooks);
    Gossip B(Hooks);
    Gossip C(countingHooks());
    A.noteTargetExit({m_Content}, 10, m_Now);
    B.noteTargetExit({m_Content}, 11, m_Now);
    C.noteTargetExit({m_Content}, 12, m_Now);
    C.merge(Received, m_Now);
    CPPUNIT_ASSERT(C.table().isQuarantined(m_Content));
    CPPUNIT_ASSERT(!A.table().isQuarantined(m_Content));
  }

  void testBroadcastsRepeatedly() {
    Gossip Tested(countingHooks());
    Tested.noteTargetExit({m_Content}, 10, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_BroadcastCount);
    advanceTime(Tested, milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_BroadcastCount);
    advanceTime(Tested, milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_BroadcastCount);
    // One incriminating incarnation does not make a suspect, so the content is
    // not sent to a sample of instances.
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_SampleSendCount);
  }

  void testGossipsUntilStored() {
    Gossip Tested(countingHooks());
    Tested.noteTargetExit({m_Content}, 10, m_Now);
    Tested.noteTargetExit({m_Content}, 11, m_Now);
    advanceTime(Tested, seconds(5));
    CPPUNIT_ASSERT(m_SampleSendCount >= 4);
    CPPUNIT_ASSERT(Tested.mergeStored(Tested.storedText(), m_Now));
    m_SampleSendCount = 0;
    advanceTime(Tested, seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_SampleSendCount);
    // The third incarnation is not stored yet.
    Tested.noteTargetExit({m_Content}, 12, m_Now);
    advanceTime(Tested, seconds(3));
    CPPUNIT_ASSERT(m_SampleSendCount >= 2);
  }

  void testStoreOutlastsAllInstances() {
    Gossip Before(countingHooks());
    for (IncarnationHash Incarnation : {10, 11, 12})
      Before.noteTargetExit({m_Content}, Incarnation, m_Now);
    Before.noteTargetExit({{3, 4}}, 10, m_Now);
    Gossip After(countingHooks());
    CPPUNIT_ASSERT(After.mergeStored(Before.storedText(), m_Now));
    CPPUNIT_ASSERT(After.table().isQuarantined(m_Content));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), After.table().size());
    CPPUNIT_ASSERT_EQUAL(Before.storedText(), After.storedText());
  }

  void testClearedContentReachesLateReplicas() {
    Gossip Tested(countingHooks());
    for (IncarnationHash Incarnation : {10, 11, 12})
      Tested.noteTargetExit({m_Content}, Incarnation, m_Now);
    auto ClearedText = withContentCleared(Tested.storedText(), m_Content);
    CPPUNIT_ASSERT(ClearedText);
    Gossip Missed = Tested;
    CPPUNIT_ASSERT(Tested.mergeStored(*ClearedText, m_Now));
    CPPUNIT_ASSERT(!Tested.table().isQuarantined(m_Content));
    // The text to store still has it cleared.
    CPPUNIT_ASSERT_EQUAL(*ClearedText, Tested.storedText());
    CPPUNIT_ASSERT(Missed.mergeStored(Tested.storedText(), m_Now));
    CPPUNIT_ASSERT(!Missed.table().isQuarantined(m_Content));
    CPPUNIT_ASSERT(!withContentCleared(*ClearedText, {7, 7}));
  }

  void testPopularContentIsNotRewritten() {
    Gossip Tested(countingHooks());
    Tested.noteTargetExit({m_Content}, 10, m_Now);
    Tested.noteTargetExit({m_Content}, 11, m_Now);
    Tested.mergeStored(Tested.storedText(), m_Now);
    Tested.noteSuccess({m_Content}, m_Now);
    std::string StoredText = Tested.storedText();
    Tested.mergeStored(StoredText, m_Now);
    for (IncarnationHash Incarnation = 20; Incarnation < 40; ++Incarnation) {
      Tested.noteTargetExit({m_Content}, Incarnation, m_Now);
      Tested.noteSuccess({m_Content}, m_Now);
      CPPUNIT_ASSERT_EQUAL(StoredText, Tested.storedText());
    }
  }

  void testTextIsReadAsWritten() {
    std::vector<Observation> Seen{
        {{1, 2}, 0xabc, false}, {{1, 2}, 0xffffffff, true}, {{3, 4}, 0, false}};
    std::string Text = formatObservations(Seen);
    CPPUNIT_ASSERT_EQUAL(
        std::string("00000000000000010000000000000002 abc ffffffff-\n"
                    "00000000000000030000000000000004 0\n"),
        Text);
    auto Read = parseObservations(Text);
    CPPUNIT_ASSERT(Read && Read->size() == 3);
    CPPUNIT_ASSERT_EQUAL(Text, formatObservations(*Read));
    CPPUNIT_ASSERT(parseObservations("") && parseObservations("")->empty());
  }

  void testRejectsMalformedText() {
    std::string Digest = "00000000000000010000000000000002";
    for (const std::string &Text :
         {std::string("x"), Digest + " g", Digest + " 1--", Digest + " -",
          Digest + " 123456789", Digest.substr(1) + " 1", std::string("\n"),
          Digest + " 1\nx 1"})
      CPPUNIT_ASSERT(!parseObservations(Text));
    Gossip Tested(countingHooks());
    CPPUNIT_ASSERT(!Tested.mergeStored("\xff\xfe", m_Now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipTest);
