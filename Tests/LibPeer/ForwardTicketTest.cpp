//===-- ForwardTicketTest.cpp - Which forwarded requests are accepted -----===//
//
// Guards against requests that no instance has forwarded, that were forwarded
// to another one, or that are sent again later.
//
//===----------------------------------------------------------------------===//
#include "LibPeer/ForwardTicket.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::peer;

class ForwardTicketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardTicketTest);
  CPPUNIT_TEST(testTicketIsReadAsWritten);
  CPPUNIT_TEST(testOtherKeyIsRejected);
  CPPUNIT_TEST(testOtherReceiverIsRejected);
  CPPUNIT_TEST(testOldTicketIsRejected);
  CPPUNIT_TEST(testChangedTicketIsRejected);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::int64_t Now = 1800000000;
  PeerCodec m_Codec{"key"};
  config::Endpoint m_Self{"10.0.0.1", 7600};
  ForwardTicket m_Ticket;

  std::optional<ForwardTicket> decode(const std::string &Text,
                                      std::int64_t At = Now) const {
    return ForwardTicket::decode(Text, m_Codec, m_Self, At);
  }

public:
  void setUp() override {
    m_Ticket.m_To = m_Self;
    m_Ticket.m_RequestId = "request";
    m_Ticket.m_Content = "content";
    m_Ticket.m_WallSeconds = Now;
    m_Ticket.m_ElapsedUs = 1500;
    m_Ticket.m_Version = core::ConfigurationVersion(7);
    m_Ticket.m_PossibleExecutions = 1;
  }

  void testTicketIsReadAsWritten() {
    auto Read = decode(m_Ticket.encode(m_Codec));
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT_EQUAL(m_Ticket.m_RequestId, Read->m_RequestId);
    CPPUNIT_ASSERT_EQUAL(m_Ticket.m_Content, Read->m_Content);
    CPPUNIT_ASSERT_EQUAL(m_Ticket.m_ElapsedUs, Read->m_ElapsedUs);
    CPPUNIT_ASSERT(m_Ticket.m_Version == Read->m_Version);
    CPPUNIT_ASSERT_EQUAL(1U, Read->m_PossibleExecutions);
  }
  void testOtherKeyIsRejected() {
    CPPUNIT_ASSERT(!decode(m_Ticket.encode(PeerCodec("other"))));
  }
  void testOtherReceiverIsRejected() {
    m_Ticket.m_To.m_Port = 7601;
    CPPUNIT_ASSERT(!decode(m_Ticket.encode(m_Codec)));
  }
  void testOldTicketIsRejected() {
    std::string Text = m_Ticket.encode(m_Codec);
    CPPUNIT_ASSERT(decode(Text, Now + ForwardTicket::MaxAgeSeconds));
    CPPUNIT_ASSERT(!decode(Text, Now + ForwardTicket::MaxAgeSeconds + 1));
    CPPUNIT_ASSERT(!decode(Text, Now - ForwardTicket::MaxAgeSeconds - 1));
  }
  void testChangedTicketIsRejected() {
    std::string Text = m_Ticket.encode(m_Codec);
    for (std::size_t I = 0; I + 4 < Text.size(); I += 7) {
      std::string Changed = Text;
      Changed[I] = Changed[I] == 'A' ? 'B' : 'A';
      CPPUNIT_ASSERT(!decode(Changed));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTicketTest);
