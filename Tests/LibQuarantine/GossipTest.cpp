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
  CPPUNIT_TEST(testReadsNothingElse);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now = core::steadyNow();
  const ContentDigest m_Content{1, 2};
  std::size_t m_BroadcastCount = 0;
  std::size_t m_SampleSendCount = 0;

  GossipHooks counting() {
    GossipHooks Out;
    Out.m_Broadcast = [this](const auto &) { ++m_BroadcastCount; };
    Out.m_SendToSample = [this](const auto &) { ++m_SampleSendCount; };
    return Out;
  }
  void pass(Gossip &Which, milliseconds Time) {
    for (milliseconds Step(0); Step < Time; Step += milliseconds(50))
      Which.upkeep(m_Now += milliseconds(50));
  }

public:
  /// Each instance sees only one of the three exits.
  void testExitsAtThreeInstancesAddUp() {
    std::vector<Observation> Received;
    GossipHooks Hooks = counting();
    Hooks.m_Broadcast = [&](const std::vector<Observation> &Seen) {
      Received.insert(Received.end(), Seen.begin(), Seen.end());
    };
    Gossip A(Hooks);
    Gossip B(Hooks);
    Gossip C(counting());
    A.noteTargetExit(m_Content, 10, m_Now);
    B.noteTargetExit(m_Content, 11, m_Now);
    C.noteTargetExit(m_Content, 12, m_Now);
    C.merge(Received, m_Now);
    CPPUNIT_ASSERT(C.table().isQuarantined(m_Content));
    CPPUNIT_ASSERT(!A.table().isQuarantined(m_Content));
  }

  void testBroadcastsRepeatedly() {
    Gossip Which(counting());
    Which.noteTargetExit(m_Content, 10, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_BroadcastCount);
    pass(Which, milliseconds(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_BroadcastCount);
    pass(Which, milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_BroadcastCount);
    // A content with one incriminating incarnation is not sent repeatedly.
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_SampleSendCount);
  }

  void testGossipsUntilStored() {
    Gossip Which(counting());
    Which.noteTargetExit(m_Content, 10, m_Now);
    Which.noteTargetExit(m_Content, 11, m_Now);
    pass(Which, seconds(5));
    CPPUNIT_ASSERT(m_SampleSendCount >= 4);
    CPPUNIT_ASSERT(Which.mergeStored(Which.storedText(), m_Now));
    m_SampleSendCount = 0;
    pass(Which, seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_SampleSendCount);
    // The third incarnation is not stored yet.
    Which.noteTargetExit(m_Content, 12, m_Now);
    pass(Which, seconds(3));
    CPPUNIT_ASSERT(m_SampleSendCount >= 2);
  }

  void testStoreOutlastsAllInstances() {
    Gossip Before(counting());
    for (IncarnationHash Incarnation : {10, 11, 12})
      Before.noteTargetExit(m_Content, Incarnation, m_Now);
    Before.noteTargetExit({3, 4}, 10, m_Now);
    Gossip After(counting());
    CPPUNIT_ASSERT(After.mergeStored(Before.storedText(), m_Now));
    CPPUNIT_ASSERT(After.table().isQuarantined(m_Content));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), After.table().size());
    CPPUNIT_ASSERT_EQUAL(Before.storedText(), After.storedText());
  }

  void testClearedContentReachesLateReplicas() {
    Gossip Which(counting());
    for (IncarnationHash Incarnation : {10, 11, 12})
      Which.noteTargetExit(m_Content, Incarnation, m_Now);
    auto ClearedText = withContentCleared(Which.storedText(), m_Content);
    CPPUNIT_ASSERT(ClearedText);
    Gossip Missed = Which;
    CPPUNIT_ASSERT(Which.mergeStored(*ClearedText, m_Now));
    CPPUNIT_ASSERT(!Which.table().isQuarantined(m_Content));
    // The text to store still has it cleared.
    CPPUNIT_ASSERT_EQUAL(*ClearedText, Which.storedText());
    CPPUNIT_ASSERT(Missed.mergeStored(Which.storedText(), m_Now));
    CPPUNIT_ASSERT(!Missed.table().isQuarantined(m_Content));
    CPPUNIT_ASSERT(!withContentCleared(*ClearedText, {7, 7}));
  }

  void testPopularContentIsNotRewritten() {
    Gossip Which(counting());
    Which.noteTargetExit(m_Content, 10, m_Now);
    Which.noteTargetExit(m_Content, 11, m_Now);
    Which.mergeStored(Which.storedText(), m_Now);
    Which.noteSuccess(m_Content, m_Now);
    std::string StoredText = Which.storedText();
    Which.mergeStored(StoredText, m_Now);
    for (IncarnationHash Incarnation = 20; Incarnation < 40; ++Incarnation) {
      Which.noteTargetExit(m_Content, Incarnation, m_Now);
      Which.noteSuccess(m_Content, m_Now);
      CPPUNIT_ASSERT_EQUAL(StoredText, Which.storedText());
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

  void testReadsNothingElse() {
    std::string Digest = "00000000000000010000000000000002";
    for (const std::string &Text :
         {std::string("x"), Digest + " g", Digest + " 1--", Digest + " -",
          Digest + " 123456789", Digest.substr(1) + " 1", std::string("\n"),
          Digest + " 1\nx 1"})
      CPPUNIT_ASSERT(!parseObservations(Text));
    Gossip Which(counting());
    CPPUNIT_ASSERT(!Which.mergeStored("\xff\xfe", m_Now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipTest);
