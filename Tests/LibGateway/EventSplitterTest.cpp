//===-- EventSplitterTest.cpp - Event streams and mirror updates ----------===//
#include "LibGateway/EventSplitter.h"

#include "LibCore/Error.h"
#include "LibGateway/MirrorUpdate.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill::gateway;
using namespace yardrill;

class EventSplitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(testEventsDoNotDependOnHowBytesAreSplit);
  CPPUNIT_TEST(testLinesMayEndWithCRLF);
  CPPUNIT_TEST(testPartialEventIsHeldBack);
  CPPUNIT_TEST(testMirrorUpdateRoundTrip);
  CPPUNIT_TEST_SUITE_END();

  /// Checks that three events, the last one with id 3, are found wherever the
  /// bytes are split.
  static void assertSplitsAnywhere(const std::string &Text) {
    for (std::size_t Cut = 0; Cut <= Text.size(); ++Cut) {
      EventSplitter Splitter;
      auto First = Splitter.push(Text.substr(0, Cut));
      auto Second = Splitter.push(Text.substr(Cut));
      CPPUNIT_ASSERT_EQUAL(Text, First.m_Bytes + Second.m_Bytes);
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), First.m_Count + Second.m_Count);
      CPPUNIT_ASSERT_EQUAL(std::string("3"), Splitter.lastId());
      CPPUNIT_ASSERT(!Splitter.hasPartial());
    }
  }

public:
  void testEventsDoNotDependOnHowBytesAreSplit() {
    const std::string Text = "id: 1\ndata: a\n\nweight-versions: 2\nid:2\n"
                             "data: b\n\nid: 3\r\ndata: c\n\n";
    assertSplitsAnywhere(Text);
  }

  /// A target that ends its lines so would be held back until its end.
  void testLinesMayEndWithCRLF() {
    const std::string Text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\r\n"
                             "id: 3\r\ndata: c\r\n\r\n";
    assertSplitsAnywhere(Text);
  }

  void testPartialEventIsHeldBack() {
    EventSplitter Splitter;
    auto Events = Splitter.push("id: 1\ndata: a\n\nid: 2\ndata: ");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), Events.m_Bytes);
    CPPUNIT_ASSERT(Splitter.hasPartial());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Splitter.lastId());
    // Another target resumes the stream at the start of that event.
    Splitter.dropPartial();
    Events = Splitter.push("id: 2\ndata: b\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"), Events.m_Bytes);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Splitter.lastId());
  }

  void testMirrorUpdateRoundTrip() {
    platform::StoreMirror Mirror(10);
    Mirror.replaceAll(platform::Revision(5),
                      {{"k", std::string("v\0w", 3), platform::Revision(4)}});
    auto Snapshot =
        MirrorUpdate::decode(MirrorUpdate::snapshot(Mirror).encode());
    CPPUNIT_ASSERT(Snapshot.m_IsSnapshot);
    platform::StoreMirror Other(10);
    Snapshot.applyTo(Other);
    CPPUNIT_ASSERT(Other.revision() == platform::Revision(5));
    CPPUNIT_ASSERT_EQUAL(std::string("v\0w", 3), Other.content()[0].m_Value);
    Mirror.apply(platform::Revision(6),
                 {{"k", "", platform::Revision(6), true}});
    auto Changes = MirrorUpdate::decode(
        MirrorUpdate::since(Mirror, Other.revision()).encode());
    CPPUNIT_ASSERT(!Changes.m_IsSnapshot);
    Changes.applyTo(Other);
    CPPUNIT_ASSERT(Other.content().empty());
    CPPUNIT_ASSERT_THROW(MirrorUpdate::decode("nonsense"), core::Error);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);
