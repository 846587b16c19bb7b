#include "LibPlatform/StoreMirror.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill::platform;

class StoreMirrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreMirrorTest);
  CPPUNIT_TEST(testFollowsChanges);
  CPPUNIT_TEST(testStaleUpdatesAreIgnored);
  CPPUNIT_TEST(testSnapshotRemovesAbsentEntries);
  CPPUNIT_TEST(testSnapshotMayHoldNewerEntries);
  CPPUNIT_TEST(testChangesSinceBringAnotherMirrorUpToDate);
  CPPUNIT_TEST(testChangesSinceFailsBeyondHistory);
  CPPUNIT_TEST(testChangesSinceSkipsReplacedValues);
  CPPUNIT_TEST(testOldValueStaysWhilePending);
  CPPUNIT_TEST(testPendingValuesAreForwarded);
  CPPUNIT_TEST(testStoreUpdatesResolvePendingValues);
  CPPUNIT_TEST(testRemovalClearsPendingValue);
  CPPUNIT_TEST(testReplacedEntriesAreReported);
  CPPUNIT_TEST_SUITE_END();

  StoreMirror m_Mirror{4};
  std::vector<std::string> m_Seen;

  static Entry put(const std::string &Key, const std::string &Value,
                   std::int64_t At) {
    return {Key, Value, Revision(At), false};
  }
  static Entry removal(const std::string &Key, std::int64_t At) {
    return {Key, "", Revision(At), true};
  }
  static Entry valueOmitted(const std::string &Key, std::int64_t At) {
    return {Key, "", Revision(At), false, true};
  }
  static std::string text(const StoreMirror &Mirror) {
    std::string Out;
    for (const Entry &Each : Mirror.content())
      Out += Each.m_Key + "=" + Each.m_Value + " ";
    return Out;
  }

public:
  void setUp() override {
    m_Mirror.subscribe([this](const Entry &Change) {
      m_Seen.push_back(Change.m_Key + (Change.m_IsDeleted ? "-" : "+"));
    });
    m_Mirror.replaceAll(Revision(10), {put("a", "1", 3), put("b", "1", 5)});
  }

  void testFollowsChanges() {
    m_Mirror.apply(Revision(12), {put("a", "2", 11), removal("b", 12)});
    CPPUNIT_ASSERT_EQUAL(std::string("a=2 "), text(m_Mirror));
    CPPUNIT_ASSERT(m_Mirror.revision() == Revision(12));
    CPPUNIT_ASSERT(m_Seen ==
                   (std::vector<std::string>{"a+", "b+", "a+", "b-"}));
  }

  void testStaleUpdatesAreIgnored() {
    m_Mirror.apply(Revision(12), {put("a", "2", 11), removal("b", 12)});
    auto Before = m_Seen;
    m_Mirror.apply(Revision(11), {put("a", "2", 11)});
    m_Mirror.apply(Revision(9), {put("b", "1", 5)});
    m_Mirror.replaceAll(Revision(10), {put("a", "1", 3), put("b", "1", 5)});
    CPPUNIT_ASSERT_EQUAL(std::string("a=2 "), text(m_Mirror));
    CPPUNIT_ASSERT(m_Mirror.revision() == Revision(12));
    CPPUNIT_ASSERT(m_Seen == Before);
  }

  void testSnapshotRemovesAbsentEntries() {
    m_Mirror.replaceAll(Revision(20), {put("b", "2", 15), put("c", "1", 16)});
    CPPUNIT_ASSERT_EQUAL(std::string("b=2 c=1 "), text(m_Mirror));
    // A repeated snapshot at the revision of the removal changes nothing.
    m_Mirror.replaceAll(Revision(20), {put("b", "2", 15), put("c", "1", 16)});
    CPPUNIT_ASSERT_EQUAL(std::string("b=2 c=1 "), text(m_Mirror));
  }

  void testSnapshotMayHoldNewerEntries() {
    m_Mirror.apply(Revision(22), {put("d", "1", 22)});
    // A later page of the snapshot has the change of b at revision 23.
    m_Mirror.replaceAll(
        Revision(22), {put("a", "1", 3), put("b", "9", 23), put("d", "1", 22)});
    CPPUNIT_ASSERT_EQUAL(std::string("a=1 b=9 d=1 "), text(m_Mirror));
    m_Mirror.apply(Revision(24), {put("b", "9", 23), put("a", "2", 24)});
    CPPUNIT_ASSERT_EQUAL(std::string("a=2 b=9 d=1 "), text(m_Mirror));
  }

  void testChangesSinceBringAnotherMirrorUpToDate() {
    StoreMirror Other(4);
    Other.replaceAll(Revision(10), m_Mirror.content());
    m_Mirror.apply(Revision(12), {put("a", "2", 11), removal("b", 12)});
    auto Changes = m_Mirror.changesSince(Other.revision());
    CPPUNIT_ASSERT(Changes);
    Other.apply(m_Mirror.revision(), *Changes);
    CPPUNIT_ASSERT_EQUAL(text(m_Mirror), text(Other));
    CPPUNIT_ASSERT(Other.revision() == Revision(12));
  }

  void testChangesSinceFailsBeyondHistory() {
    for (std::int64_t At = 11; At <= 16; ++At)
      m_Mirror.apply(Revision(At), {put("k" + std::to_string(At), "1", At)});
    CPPUNIT_ASSERT(!m_Mirror.changesSince(Revision(10)));
    CPPUNIT_ASSERT(!m_Mirror.changesSince(Revision(11)));
    CPPUNIT_ASSERT(m_Mirror.changesSince(Revision(12)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                         m_Mirror.changesSince(Revision(12))->size());
    CPPUNIT_ASSERT(!m_Mirror.changesSince(Revision()));
  }

  void testChangesSinceSkipsReplacedValues() {
    m_Mirror.apply(Revision(14), {put("a", "2", 11), removal("b", 12),
                                  put("a", "3", 13), put("b", "4", 14)});
    auto Changes = m_Mirror.changesSince(Revision(10));
    CPPUNIT_ASSERT(Changes);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Changes->size());
    CPPUNIT_ASSERT_EQUAL(std::string("3"), Changes->at(0).m_Value);
    CPPUNIT_ASSERT_EQUAL(std::string("4"), Changes->at(1).m_Value);
  }

  void testOldValueStaysWhilePending() {
    m_Mirror.apply(Revision(12), {valueOmitted("a", 11), put("b", "2", 12)});
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_Mirror.find("a")->m_Value);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_Mirror.find("b")->m_Value);
    CPPUNIT_ASSERT(m_Mirror.revision() == Revision(12));
    CPPUNIT_ASSERT(m_Mirror.completeRevision() == Revision(10));
    // A value between the current and the newest pending one is applied; one
    // older than the current value is ignored.
    m_Mirror.apply(Revision(13), {valueOmitted("a", 13)});
    m_Mirror.supplyValue(put("a", "2", 11));
    m_Mirror.supplyValue(put("a", "1", 3));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_Mirror.find("a")->m_Value);
    CPPUNIT_ASSERT(m_Mirror.completeRevision() == Revision(11));
    m_Mirror.supplyValue(put("a", "3", 13));
    CPPUNIT_ASSERT_EQUAL(std::string("a=3 b=2 "), text(m_Mirror));
    CPPUNIT_ASSERT(m_Mirror.completeRevision() == Revision(13));
    CPPUNIT_ASSERT(m_Seen ==
                   (std::vector<std::string>{"a+", "b+", "b+", "a+", "a+"}));
  }

  void testPendingValuesAreForwarded() {
    m_Mirror.apply(Revision(12),
                   {valueOmitted("a", 11), valueOmitted("n", 12)});
    auto Changes = m_Mirror.changesSince(Revision(10));
    CPPUNIT_ASSERT(Changes && Changes->size() == 2);
    StoreMirror Behind(4);
    Behind.apply(Revision(12), *Changes);
    CPPUNIT_ASSERT(Behind.pendingValues() == m_Mirror.pendingValues());
    StoreMirror Fresh(4);
    Fresh.replaceAll(m_Mirror.revision(), m_Mirror.content());
    CPPUNIT_ASSERT(Fresh.pendingValues() == m_Mirror.pendingValues());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Fresh.find("b")->m_Value);
    CPPUNIT_ASSERT(!Fresh.find("a"));
  }

  void testStoreUpdatesResolvePendingValues() {
    m_Mirror.apply(Revision(12),
                   {valueOmitted("a", 11), valueOmitted("b", 12)});
    // A watch and a snapshot whose revisions are older than the mirror's still
    // supply pending values.
    m_Mirror.apply(Revision(11), {put("a", "2", 11)});
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_Mirror.find("a")->m_Value);
    m_Mirror.replaceAll(Revision(11), {put("b", "2", 12)});
    CPPUNIT_ASSERT_EQUAL(std::string("a=2 b=2 "), text(m_Mirror));
    CPPUNIT_ASSERT(m_Mirror.completeRevision() == Revision(12));
  }

  void testRemovalClearsPendingValue() {
    m_Mirror.apply(Revision(12),
                   {valueOmitted("a", 11), valueOmitted("n", 12)});
    m_Mirror.apply(Revision(14), {removal("a", 13), removal("n", 14)});
    CPPUNIT_ASSERT(m_Mirror.pendingValues().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("b=1 "), text(m_Mirror));
    m_Mirror.apply(Revision(15), {valueOmitted("n", 15)});
    m_Mirror.replaceAll(Revision(16), {put("b", "1", 5)});
    CPPUNIT_ASSERT(m_Mirror.pendingValues().empty());
    auto Changes = m_Mirror.changesSince(Revision(14));
    CPPUNIT_ASSERT(Changes && !Changes->empty());
    for (const Entry &Each : *Changes)
      CPPUNIT_ASSERT(Each.m_IsDeleted);
  }

  void testReplacedEntriesAreReported() {
    std::string Replaced;
    m_Mirror.setReplacedCallback([&](const Entry &Old) {
      Replaced += Old.m_Key + "=" + Old.m_Value + " ";
    });
    m_Mirror.apply(Revision(12), {put("a", "2", 11), removal("b", 12)});
    CPPUNIT_ASSERT_EQUAL(std::string("a=1 b=1 "), Replaced);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreMirrorTest);
