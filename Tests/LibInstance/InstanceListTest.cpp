//===-- InstanceListTest.cpp - Malformed entries of the instance list -----===//
//
// Guards against a listed scheduler without a usable address, to which a
// message can't be sent.
//
//===----------------------------------------------------------------------===//
#include "LibInstance/InstanceList.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::instance;

class InstanceListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceListTest);
  CPPUNIT_TEST(testMalformedAddressIsNotListed);
  CPPUNIT_TEST(testMalformedUpdateRemovesTheEntry);
  CPPUNIT_TEST_SUITE_END();

  InstanceList m_List;

  static platform::Entry entry(const std::string &Name,
                               const std::string &Address) {
    platform::Entry Out;
    Out.m_Key = InstanceListPrefix + Name;
    Out.m_Value = R"({"kind":"scheduler","name":")" + Name +
                  R"(","address":")" + Address + R"(","state":"live"})";
    return Out;
  }

public:
  void testMalformedAddressIsNotListed() {
    m_List.reset({entry("a", "127.0.0.1:1"), entry("b", "nowhere"),
                  entry("c", "127.0.0.1:3")});
    std::vector<config::Endpoint> Addresses = m_List.schedulerAddresses();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Addresses.size());
    for (const config::Endpoint &Each : Addresses)
      CPPUNIT_ASSERT_NO_THROW(Each.toUdp());
  }

  void testMalformedUpdateRemovesTheEntry() {
    m_List.reset({entry("a", "127.0.0.1:1")});
    m_List.apply({entry("a", "")});
    CPPUNIT_ASSERT(m_List.schedulerAddresses().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceListTest);
