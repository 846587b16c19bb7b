//===-- MissingPeersTest.cpp - Peers that fell silent without stopping ----===//
#include "LibGateway/MissingPeers.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using std::chrono::seconds;

class MissingPeersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MissingPeersTest);
  CPPUNIT_TEST(testIsKeptForAWhile);
  CPPUNIT_TEST(testFirstSilenceCounts);
  CPPUNIT_TEST(testReturningPeerIsRemoved);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  config::Endpoint m_Peer{"10.1.0.2", 7600};
  MissingPeers m_Missing;

public:
  void testIsKeptForAWhile() {
    m_Missing.add(m_Peer, m_Now);
    m_Missing.forgetOld(m_Now + seconds(9));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Missing.all().size());
    m_Missing.forgetOld(m_Now + seconds(11));
    CPPUNIT_ASSERT(m_Missing.all().empty());
  }

  void testFirstSilenceCounts() {
    m_Missing.add(m_Peer, m_Now);
    m_Missing.add(m_Peer, m_Now + seconds(5));
    CPPUNIT_ASSERT(m_Missing.all().at(m_Peer) == m_Now);
  }

  void testReturningPeerIsRemoved() {
    m_Missing.add(m_Peer, m_Now);
    m_Missing.remove(m_Peer);
    CPPUNIT_ASSERT(m_Missing.all().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MissingPeersTest);
