#include "LibCore/Log.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill::core;

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(testPlainValuesAreUnquoted);
  CPPUNIT_TEST(testSpecialCharactersAreEscaped);
  CPPUNIT_TEST_SUITE_END();

  static std::string withoutTime(const LogLine &Line) {
    return Line.text().substr(Line.text().find(" event="));
  }

public:
  void testPlainValuesAreUnquoted() {
    LogLine Line("test");
    Line.add("request", RequestId(7)).add("pool", "seats").add("empty", "");
    CPPUNIT_ASSERT_EQUAL(
        std::string(" event=test request=7 pool=seats empty=\"\""),
        withoutTime(Line));
  }

  void testSpecialCharactersAreEscaped() {
    LogLine Line("test");
    Line.add("value", "a b\nlevel=error \"x\\\x01\x7f");
    std::string Text = withoutTime(Line);
    CPPUNIT_ASSERT_EQUAL(std::string(" event=test value=\"a b\\x0alevel=error "
                                     "\\\"x\\\\\\x01\\x7f\""),
                         Text);
    CPPUNIT_ASSERT(Text.find('\n') == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
