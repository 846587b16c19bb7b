//===-- StreamOriginRecordTest.cpp - Origins of streams in the store ------===//
// Guards against a stream that goes on at a version that another one began at.
#include "LibGateway/StreamOriginRecord.h"
#include "LibGateway/StoreRecord.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;

class StreamOriginRecordTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamOriginRecordTest);
  CPPUNIT_TEST(testEachStreamHasItsOrigin);
  CPPUNIT_TEST(testMalformedLinesTellNothing);
  CPPUNIT_TEST(testNames);
  CPPUNIT_TEST_SUITE_END();

public:
  void testEachStreamHasItsOrigin() {
    std::string Text;
    StreamRecordIds All{{1, ~std::uint64_t(0)}, {~std::uint64_t(0), 1}, {0, 7}};
    for (const StreamKey &Key : All)
      StreamOriginRecord::append(Text, Key, originOf(Key));
    CPPUNIT_ASSERT_EQUAL(All.size(), StreamOriginRecord::parse(Text).size());
    for (const StreamKey &Key : All)
      CPPUNIT_ASSERT(StreamOriginRecord::find(Text, Key) == originOf(Key));
    CPPUNIT_ASSERT(!StreamOriginRecord::find(Text, {0, 8}));
    CPPUNIT_ASSERT(!StreamOriginRecord::find("", {0, 7}));
  }

  void testMalformedLinesTellNothing() {
    std::string Text;
    StreamOriginRecord::append(Text, {0, 7}, originOf({0, 7}));
    for (std::size_t Size = 0; Size < Text.size(); ++Size) {
      std::string Part = Text.substr(0, Size);
      CPPUNIT_ASSERT(!StreamOriginRecord::find(Part, {0, 7}));
      CPPUNIT_ASSERT(StreamOriginRecord::parse(Part).empty());
    }
    CPPUNIT_ASSERT(StreamOriginRecord::parse("x y z\n\n").empty());
  }

  void testNames() {
    std::string Key =
        StoreRecord::keyOf(StreamOriginRecord::nameOf({"10.0.0.1", 8229}));
    CPPUNIT_ASSERT(StreamOriginRecord::isRecordKey(Key));
    CPPUNIT_ASSERT(
        !StreamOriginRecord::isRecordKey(StoreRecord::keyOf("instances")));
  }

private:
  using StreamRecordIds = std::vector<StreamKey>;
  /// An origin whose version has a blank and a line end.
  static StreamOrigin originOf(const StreamKey &Key) {
    return {static_cast<routing::PoolHash>(Key.m_Low),
            core::TargetVersion("v 1\n" + std::to_string(Key.m_High))};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginRecordTest);
