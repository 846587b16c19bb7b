//===-- PeerCodecTest.cpp - Authentication and replay of peer messages ----===//
#include "LibPeer/PeerCodec.h"

#include "LibCore/Error.h"
#include "LibPeer/PeerDirectory.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>

using namespace yardrill;
using namespace yardrill::peer;

static PeerMessage message(std::uint64_t From, std::uint64_t Sequence) {
  PeerMessage Out;
  Out.m_From.m_Incarnation = core::IncarnationId(From);
  Out.m_From.m_Peer = {"127.0.0.1", 8082};
  Out.m_Sequence = Sequence;
  Out.m_WallSeconds = 1000;
  Heartbeat Beat;
  Beat.m_Name = core::InstanceName("entry-1");
  Beat.m_Version = core::ConfigurationVersion(4);
  Out.m_Body = Beat;
  return Out;
}

class PeerCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerCodecTest);
  CPPUNIT_TEST(testRoundTrip);
  CPPUNIT_TEST(testForeignDatagramsAreDropped);
  CPPUNIT_TEST(testModifiedDatagramsAreDropped);
  CPPUNIT_TEST(testTooLarge);
  CPPUNIT_TEST(testReplayAndAge);
  CPPUNIT_TEST(testBoundedPeers);
  CPPUNIT_TEST(testShortReportIsCompleted);
  CPPUNIT_TEST_SUITE_END();

  PeerCodec m_Codec{"the shared key"};

  static DropReason
  reasonOf(const std::variant<PeerMessage, DropReason> &Result) {
    CPPUNIT_ASSERT(std::holds_alternative<DropReason>(Result));
    return std::get<DropReason>(Result);
  }

public:
  void testRoundTrip() {
    auto Decoded = m_Codec.decode(m_Codec.encode(message(7, 9)));
    const auto &Message = std::get<PeerMessage>(Decoded);
    CPPUNIT_ASSERT(Message.m_From.m_Incarnation == core::IncarnationId(7));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Message.m_Sequence);
    CPPUNIT_ASSERT(std::get<Heartbeat>(Message.m_Body).m_Version ==
                   core::ConfigurationVersion(4));
  }

  void testForeignDatagramsAreDropped() {
    std::string Datagram = m_Codec.encode(message(7, 9));
    CPPUNIT_ASSERT(reasonOf(PeerCodec("another key").decode(Datagram)) ==
                   DropReason::WrongKey);
    std::string Old = Datagram;
    Old[2] = 0;
    CPPUNIT_ASSERT(reasonOf(m_Codec.decode(Old)) == DropReason::OtherVersion);
    CPPUNIT_ASSERT(reasonOf(m_Codec.decode("")) == DropReason::Garbage);
    std::mt19937 Random(1);
    for (int I = 0; I < 2000; ++I) {
      std::string Noise(Random() % MaxDatagramBytes, '\0');
      for (char &C : Noise)
        C = static_cast<char>(Random());
      reasonOf(m_Codec.decode(Noise));
    }
  }

  void testModifiedDatagramsAreDropped() {
    std::string Datagram = m_Codec.encode(message(7, 9));
    for (std::size_t I = 0; I < Datagram.size(); ++I) {
      std::string Changed = Datagram;
      Changed[I] = static_cast<char>(Changed[I] ^ 1);
      reasonOf(m_Codec.decode(Changed));
      reasonOf(m_Codec.decode(Datagram.substr(0, I)));
    }
  }

  void testTooLarge() {
    CPPUNIT_ASSERT(reasonOf(m_Codec.decode(std::string(
                       MaxDatagramBytes + 1, 'Y'))) == DropReason::TooLarge);
    PeerMessage Large = message(1, 1);
    std::get<Heartbeat>(Large.m_Body).m_Name =
        core::InstanceName(std::string(MaxDatagramBytes, 'x'));
    CPPUNIT_ASSERT_THROW(m_Codec.encode(Large), core::Error);
  }

  void testReplayAndAge() {
    PeerDirectory Directory(8, std::chrono::seconds(5));
    core::TimePoint Now{std::chrono::seconds(1)};
    CPPUNIT_ASSERT(!Directory.accept(message(7, 9), Now, 1000));
    CPPUNIT_ASSERT(*Directory.accept(message(7, 9), Now, 1000) ==
                   DropReason::Replayed);
    CPPUNIT_ASSERT(*Directory.accept(message(7, 8), Now, 1000) ==
                   DropReason::Replayed);
    CPPUNIT_ASSERT(!Directory.accept(message(7, 10), Now, 1000));
    // A replayed message cannot revive a peer that has expired.
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1), Directory.expire(Now + std::chrono::seconds(6)).size());
    CPPUNIT_ASSERT(*Directory.accept(message(7, 10), Now, 1031) ==
                   DropReason::Stale);
    CPPUNIT_ASSERT(Directory.all().empty());
  }

  void testBoundedPeers() {
    PeerDirectory Directory(2, std::chrono::seconds(5));
    core::TimePoint Now{std::chrono::seconds(1)};
    CPPUNIT_ASSERT(!Directory.accept(message(1, 1), Now, 1000));
    CPPUNIT_ASSERT(!Directory.accept(message(2, 1), Now, 1000));
    CPPUNIT_ASSERT(*Directory.accept(message(3, 1), Now, 1000) ==
                   DropReason::TooManyPeers);
    CPPUNIT_ASSERT(!Directory.accept(message(1, 2), Now, 1000));
  }

  void testShortReportIsCompleted() {
    LoadReport Previous;
    Previous.m_Name = core::InstanceName("entry-1");
    Previous.m_DataHall = core::DataHallName("hall");
    Previous.m_Targets = {{7, 1, 0}};
    LoadReport Current = Previous;
    Current.m_Targets.clear();
    LoadReport Short = shortened(Current);
    CPPUNIT_ASSERT(!Short.m_IsFull);
    CPPUNIT_ASSERT(Short.m_Name.value().empty());
    LoadReport Completed = completed(Short, Previous);
    CPPUNIT_ASSERT(Completed.m_IsFull && Completed.m_Name == Previous.m_Name &&
                   Completed.m_DataHall == Previous.m_DataHall);
    // Targets without requests are omitted from every report.
    CPPUNIT_ASSERT(Completed.m_Targets.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCodecTest);
