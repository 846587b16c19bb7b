//===-- ContentDigestTest.cpp - Digests of requests and their text --------===//
#include "LibQuarantine/ContentDigest.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace yardrill::quarantine;

class ContentDigestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ContentDigestTest);
  CPPUNIT_TEST(testIsTheSameForTheSameContent);
  CPPUNIT_TEST(testEachPartCounts);
  CPPUNIT_TEST(testPartsDoNotRunIntoEachOther);
  CPPUNIT_TEST(testReadsWhatItWrites);
  CPPUNIT_TEST(testRejectsMalformedText);
  CPPUNIT_TEST_SUITE_END();

  static Content sampleContent() {
    return {"owner", "h", "POST", "/again/x?y", "b"};
  }

public:
  void testIsTheSameForTheSameContent() {
    CPPUNIT_ASSERT(ContentDigest::of(sampleContent()) ==
                   ContentDigest::of(sampleContent()));
    // All builds must give the same digest: SHA-256 (FIPS 180-4) over the five
    // parts, each preceded by its length as eight bytes, little-endian.
    CPPUNIT_ASSERT_EQUAL(std::string("2c34ce1df23b838c5abf2a7f6437cca3"),
                         ContentDigest::of({}).toString());
  }

  void testEachPartCounts() {
    std::set<ContentDigest> Seen{ContentDigest::of(sampleContent())};
    for (std::string_view Content::*Part :
         {&Content::m_Account, &Content::m_Host, &Content::m_Method,
          &Content::m_Target, &Content::m_Body}) {
      Content Other = sampleContent();
      Other.*Part = "other";
      Seen.insert(ContentDigest::of(Other));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Seen.size());
  }

  void testPartsDoNotRunIntoEachOther() {
    Content One{"a", "bc", "", "", ""};
    Content Other{"ab", "c", "", "", ""};
    CPPUNIT_ASSERT(!(ContentDigest::of(One) == ContentDigest::of(Other)));
  }

  void testReadsWhatItWrites() {
    ContentDigest Digest{0x0123456789abcdef, 7};
    CPPUNIT_ASSERT_EQUAL(std::string("0123456789abcdef0000000000000007"),
                         Digest.toString());
    CPPUNIT_ASSERT(ContentDigest::parse(Digest.toString()) == Digest);
  }

  void testRejectsMalformedText() {
    for (const char *Text : {"", "0123", "0123456789abcdef000000000000000g",
                             "0123456789abcdef00000000000000071",
                             " 123456789abcdef0000000000000007",
                             "-123456789abcdef0000000000000007"})
      CPPUNIT_ASSERT(!ContentDigest::parse(Text));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContentDigestTest);
