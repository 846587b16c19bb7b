//===-- RequestReaderTest.cpp - Paths, identities and headers -------------===//
#include "LibInstance/RequestReader.h"

#include "LibCore/Digest.h"
#include "LibInstance/PeerSignature.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::instance;

class RequestReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestReaderTest);
  CPPUNIT_TEST(testPaths);
  CPPUNIT_TEST(testTickets);
  CPPUNIT_TEST(testCredentialsAreNotForwarded);
  CPPUNIT_TEST(testTierSetsPriority);
  CPPUNIT_TEST(testPeerSignature);
  CPPUNIT_TEST_SUITE_END();

  decision::InstanceRef m_Self{core::IncarnationId(7), {"127.0.0.1", 8082}};
  TicketSigner m_Tickets{"shared key", m_Self, std::chrono::minutes(10)};
  core::AccountName m_Account{"box-office"};
  config::ConfigurationHandle m_Configuration =
      config::FleetConfiguration::parse(config::FleetConfiguration::example(),
                                        "f", core::ConfigurationVersion(1));

  ParsedRequest read(const http::RequestMessage &Request) {
    RequestReader Reader(*m_Configuration, m_Tickets);
    auto Out = Reader.read(Request, m_Configuration->accounts().front());
    CPPUNIT_ASSERT(std::holds_alternative<ParsedRequest>(Out));
    return std::get<ParsedRequest>(Out);
  }

public:
  void testPaths() {
    CPPUNIT_ASSERT_EQUAL(std::string("/a b"), *canonicalPath("/a%20b?x=/y"));
    CPPUNIT_ASSERT_EQUAL(std::string("/a/"), *canonicalPath("/a/"));
    for (const char *Bad :
         {"", "a", "//a", "/a//b", "/./a", "/a/..", "/a/../b", "/%2e%2e/a",
          "/a%2fb", "/a%5cb", "/a\\b", "/%", "/%4", "/%zz", "/a%00", "/%25"})
      CPPUNIT_ASSERT_MESSAGE(Bad, !canonicalPath(Bad));
  }

  void testTickets() {
    core::TimePoint Now{std::chrono::hours(1)};
    std::string Ticket = m_Tickets.issue(m_Account, Now);
    auto Read = m_Tickets.read(Ticket, m_Account);
    CPPUNIT_ASSERT(Read);
    CPPUNIT_ASSERT(Read->m_Owner == m_Self);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"),
                         Read->m_Owner.m_Peer.m_Address);
    auto Expiry = Now + std::chrono::minutes(10);
    CPPUNIT_ASSERT(Read->m_ExpiresAt == Expiry.time_since_epoch().count());
    CPPUNIT_ASSERT(m_Tickets.issue(m_Account, Now) != Ticket);
    // Rejected: another account, another key, a changed or shortened ticket.
    CPPUNIT_ASSERT(!m_Tickets.read(Ticket, core::AccountName("other")));
    TicketSigner Other("other key", m_Self, std::chrono::minutes(10));
    CPPUNIT_ASSERT(!Other.read(Ticket, m_Account));
    for (std::size_t I = 0; I < Ticket.size(); ++I) {
      std::string Changed = Ticket;
      Changed[I] = Changed[I] == '1' ? '2' : '1';
      CPPUNIT_ASSERT(!m_Tickets.read(Changed, m_Account));
      CPPUNIT_ASSERT(!m_Tickets.read(Ticket.substr(0, I), m_Account));
    }
  }

  void testCredentialsAreNotForwarded() {
    http::RequestMessage Request;
    Request.m_Method = "PUT";
    Request.m_Target = "/apps/seats/holds/1?row=b#part";
    Request.m_Headers = {{"Authorization", "Bearer secret"},
                         {"connection", "close, X-Once"},
                         {"x-once", "1"},
                         {"X-Kept", "2"},
                         {"Yardrill-Ticket", m_Tickets.issue(m_Account, {})},
                         {"Yardrill-Peer-Account", "forged"}};
    ParsedRequest Out = read(Request);
    CPPUNIT_ASSERT_EQUAL(std::string("/holds/1?row=b"),
                         Out.m_TargetRequest.m_Target);
    for (const char *Name : {"Authorization", "Connection", "X-Once",
                             "Yardrill-Ticket", "Yardrill-Peer-Account"})
      CPPUNIT_ASSERT_MESSAGE(Name, !Out.m_TargetRequest.m_Headers.find(Name));
    CPPUNIT_ASSERT(Out.m_TargetRequest.m_Headers.find("X-Kept"));
    CPPUNIT_ASSERT(Out.m_Arrival.m_Identity);
    CPPUNIT_ASSERT(!Out.m_Arrival.m_IsEvictable);
  }

  void testTierSetsPriority() {
    http::RequestMessage Request;
    Request.m_Method = "POST";
    Request.m_Target = "/v1/completions";
    Request.m_Headers = {{"Yardrill-Tier", "batch"}};
    Request.m_Body = R"({"model":"assistant-1","prompt":"x","priority":-9})";
    ParsedRequest Out = read(Request);
    CPPUNIT_ASSERT(Out.m_TargetRequest.m_Body.find("\"priority\":3") !=
                   std::string::npos);
    CPPUNIT_ASSERT(Out.m_Arrival.m_Tier == core::TierNumber(3));
  }

  void testPeerSignature() {
    PeerSignature Signature("shared key");
    http::RequestMessage Request;
    Request.m_Method = "POST";
    Request.m_Target = "/apps/seats/x";
    Request.m_Headers = {{AccountHeader, "box-office"},
                         {IdempotencyKeyHeader, "k"}};
    Request.m_Body = "body";
    Signature.sign(Request, 1000);
    CPPUNIT_ASSERT(Signature.isValid(Request, 1030));
    CPPUNIT_ASSERT(!Signature.isValid(Request, 1031));
    CPPUNIT_ASSERT(!PeerSignature("other").isValid(Request, 1000));
    for (int Variant = 0; Variant < 5; ++Variant) {
      http::RequestMessage Changed = Request;
      if (Variant == 0)
        Changed.m_Method = "PUT";
      if (Variant == 1)
        Changed.m_Target += "y";
      if (Variant == 2)
        Changed.m_Body += "!";
      if (Variant == 3)
        Changed.m_Headers.set(AccountHeader, "other");
      if (Variant == 4)
        Changed.m_Headers.remove(IdempotencyKeyHeader);
      CPPUNIT_ASSERT(!Signature.isValid(Changed, 1000));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestReaderTest);
