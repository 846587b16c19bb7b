#include "LibCore/Digest.h"

#include "LibCore/Error.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill::core;

class DigestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DigestTest);
  CPPUNIT_TEST(testPublishedVectors);
  CPPUNIT_TEST(testHexAndBase64RoundTrip);
  CPPUNIT_TEST_SUITE_END();

public:
  void testPublishedVectors() {
    // FIPS 180-4, example for SHA-256; RFC 4231, test case 2.
    CPPUNIT_ASSERT_EQUAL(
        std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61"
                    "f20015ad"),
        sha256Hex("abc"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b9"
                    "64ec3843"),
        toHex(hmacSha256("Jefe", "what do ya want for nothing?")));
  }

  void testHexAndBase64RoundTrip() {
    for (const std::string &Text :
         {std::string(), std::string("f"), std::string("fo"),
          std::string("foo"), std::string("\0\xff", 2)}) {
      CPPUNIT_ASSERT_EQUAL(Text, fromBase64(toBase64(Text)));
      CPPUNIT_ASSERT_EQUAL(Text, fromHex(toHex(Text)));
    }
    CPPUNIT_ASSERT_THROW(fromBase64("abc"), Error);
    CPPUNIT_ASSERT_THROW(fromBase64("!!!!"), Error);
    CPPUNIT_ASSERT_EQUAL(std::string(), fromHex("0g"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DigestTest);
