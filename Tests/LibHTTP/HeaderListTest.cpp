//===-- HeaderListTest.cpp - Fields that are not forwarded ----------------===//
//
// Guards against forwarding a field that a Connection field lists, as the
// receiver would take it for one of its own connection.
//
//===----------------------------------------------------------------------===//
#include "LibHTTP/Message.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill::http;

class HeaderListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeaderListTest);
  CPPUNIT_TEST(testAllConnectionFieldsAreRead);
  CPPUNIT_TEST_SUITE_END();

public:
  void testAllConnectionFieldsAreRead() {
    HeaderList Headers{{"Connection", "X-First, Connection"},
                       {"X-First", "1"},
                       {"connection", "keep-alive , X-Second"},
                       {"X-Second", "2"},
                       {"Keep-Alive", "timeout=5"},
                       {"X-Kept", "3"}};
    Headers.removeHopByHop();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1),
                         std::distance(Headers.begin(), Headers.end()));
    CPPUNIT_ASSERT(Headers.find("X-Kept"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeaderListTest);
