//===-- StoreNewsSpreaderTest.cpp - News of the store among peers ---------===//
//
// Guards against groups that news does not reach, against news that is passed
// on for ever, and against changes that are applied to an older state than the
// one they continue.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/StoreNewsSpreader.h"
#include "LibCore/Error.h"
#include "LibGateway/MirrorUpdate.h"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>

using namespace yardrill;
using namespace yardrill::gateway;
using config::Endpoint;
using peer::NewsScope;
using peer::StoreNews;
using platform::Revision;
using routing::FleetSubset;

class StoreNewsSpreaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreNewsSpreaderTest);
  CPPUNIT_TEST(testTreeReachesEachGroup);
  CPPUNIT_TEST(testReceiversGrowWithTheRootOfTheGroups);
  CPPUNIT_TEST(testNewsIsAppliedAndPassedOnOnce);
  CPPUNIT_TEST(testNewsToAMemberIsNotPassedOn);
  CPPUNIT_TEST(testGapIsFetchedThenSpread);
  CPPUNIT_TEST(testLargeChangesAreOnlyAnnounced);
  CPPUNIT_TEST(testUnreadableChangesChangeNothing);
  CPPUNIT_TEST(testHeartbeatsReachOtherGroups);
  CPPUNIT_TEST_SUITE_END();

  struct Sent {
    std::vector<Endpoint> m_To;
    StoreNews m_News;
  };
  struct SentHeartbeat {
    std::vector<Endpoint> m_To;
    peer::FollowerHeartbeat m_Heartbeat;
  };

  core::TimePoint m_Now{std::chrono::hours(1)};
  platform::StoreMirror m_Mirror{100};
  std::vector<Sent> m_Sent;
  std::vector<SentHeartbeat> m_Heartbeats;
  StoreNewsSpreader m_Spreader{
      m_Mirror,
      [this](const std::vector<Endpoint> &To, const peer::PeerBody &Body) {
        if (const auto *Beat = std::get_if<peer::FollowerHeartbeat>(&Body))
          m_Heartbeats.push_back({To, *Beat});
        else
          m_Sent.push_back({To, std::get<StoreNews>(Body)});
      },
      1};

  static Endpoint address(std::size_t Index) {
    return {"10.1." + std::to_string(Index / 250) + "." +
                std::to_string(Index % 250 + 1),
            7400};
  }
  static FleetSubset subsetOf(std::size_t Self, std::size_t Instances) {
    FleetSubset::Fleet Fleet;
    for (std::size_t I = 0; I < Instances; ++I)
      Fleet[address(I)] = core::DataHallName("hall-" + std::to_string(I % 5));
    return {address(Self), Fleet};
  }
  static platform::Entry entry(std::int64_t At, std::size_t Bytes = 10) {
    platform::Entry Out;
    Out.m_Key = "servers/" + std::to_string(At);
    // Not compressible.
    std::mt19937 Random(1);
    for (std::size_t I = 0; I < Bytes; ++I)
      Out.m_Value += static_cast<char>('0' + Random() % 64);
    Out.m_ModRevision = Revision(At);
    return Out;
  }
  /// Returns news of a mirror that has all revisions up to \p At.
  static StoreNews newsOf(std::int64_t Base, std::int64_t At, NewsScope Scope) {
    platform::StoreMirror Sender(100);
    Sender.replaceAll(Revision(Base), {});
    for (std::int64_t I = Base + 1; I <= At; ++I)
      Sender.apply(Revision(I), {entry(I)});
    StoreNews Out;
    Out.m_Scope = Scope;
    Out.m_StoreRevision = Out.m_CompleteRevision = At;
    Out.m_BaseRevision = Base;
    Out.m_Changes = MirrorUpdate::since(Sender, Revision(Base)).encode();
    return Out;
  }
  std::size_t receiversOf(NewsScope Scope) const {
    std::size_t Sum = 0;
    for (const Sent &Each : m_Sent)
      if (Each.m_News.m_Scope == Scope)
        Sum += Each.m_To.size();
    return Sum;
  }

public:
  void setUp() override {
    m_Mirror.replaceAll(Revision(10), {});
    m_Spreader.setSubset(subsetOf(0, 300));
    m_Spreader.spreadIfNew(false, m_Now);
    m_Now += std::chrono::seconds(1);
    m_Sent.clear();
  }

  void testTreeReachesEachGroup() {
    for (std::size_t Instances : {9, 50, 300, 985}) {
      FleetSubset Origin = subsetOf(3, Instances);
      NewsTree Tree(1);
      Tree.setSubset(Origin);
      std::set<Endpoint> Reached(Origin.groupMembers().begin(),
                                 Origin.groupMembers().end());
      Reached.insert(address(3));
      for (const Endpoint &Relay : Tree.relays(1)) {
        std::size_t Index = 0;
        while (!(address(Index) == Relay))
          ++Index;
        FleetSubset OfRelay = subsetOf(Index, Instances);
        NewsTree RelayTree(2);
        RelayTree.setSubset(OfRelay);
        std::vector<Endpoint> Entries = RelayTree.sectionMembers(1);
        Entries.push_back(Relay);
        for (const Endpoint &Entry : Entries)
          for (std::size_t Group = 0; Group < OfRelay.groupCount(); ++Group) {
            std::vector<Endpoint> Members = OfRelay.membersOf(Group);
            if (std::find(Members.begin(), Members.end(), Entry) !=
                Members.end())
              Reached.insert(Members.begin(), Members.end());
          }
      }
      CPPUNIT_ASSERT_EQUAL(Instances, Reached.size());
    }
  }

  void testReceiversGrowWithTheRootOfTheGroups() {
    for (std::size_t Instances : {100, 300, 985, 2000}) {
      FleetSubset Subset = subsetOf(0, Instances);
      NewsTree Tree(1);
      Tree.setSubset(Subset);
      double Root = std::sqrt(static_cast<double>(Subset.groupCount()));
      CPPUNIT_ASSERT(static_cast<double>(Tree.relays(2).size()) <=
                     2 * (Root + 1));
      CPPUNIT_ASSERT(static_cast<double>(Tree.sectionMembers(2).size()) <=
                     2 * (Root + 1));
    }
  }

  void testNewsIsAppliedAndPassedOnOnce() {
    StoreNews News = newsOf(10, 12, NewsScope::Section);
    m_Spreader.handle(address(1), News, m_Now);
    CPPUNIT_ASSERT(m_Mirror.revision() == Revision(12));
    CPPUNIT_ASSERT(m_Mirror.find("servers/12"));
    CPPUNIT_ASSERT(receiversOf(NewsScope::Group) > 0);
    CPPUNIT_ASSERT_EQUAL(subsetOf(0, 300).groupMembers().size(),
                         receiversOf(NewsScope::Member));
    m_Sent.clear();
    m_Spreader.handle(address(2), News, m_Now);
    m_Spreader.spreadIfNew(false, m_Now + std::chrono::seconds(1));
    CPPUNIT_ASSERT(m_Sent.empty());
  }

  void testNewsToAMemberIsNotPassedOn() {
    m_Spreader.handle(address(1), newsOf(10, 12, NewsScope::Member), m_Now);
    m_Spreader.spreadIfNew(false, m_Now + std::chrono::seconds(1));
    CPPUNIT_ASSERT(m_Mirror.revision() == Revision(12));
    CPPUNIT_ASSERT(m_Sent.empty());
  }

  /// Changes since revision 15 say nothing of those from 11 to 15.
  void testGapIsFetchedThenSpread() {
    m_Spreader.handle(address(1), newsOf(15, 17, NewsScope::Section), m_Now);
    CPPUNIT_ASSERT(m_Mirror.revision() == Revision(10));
    CPPUNIT_ASSERT(m_Sent.empty());
    auto Source = m_Spreader.source(m_Now);
    CPPUNIT_ASSERT(Source && Source->m_Address == address(1));
    for (std::int64_t I = 11; I <= 17; ++I)
      m_Mirror.apply(Revision(I), {entry(I)});
    m_Spreader.spreadIfNew(false, m_Now);
    CPPUNIT_ASSERT(receiversOf(NewsScope::Group) > 0);
    CPPUNIT_ASSERT(receiversOf(NewsScope::Member) > 0);
    CPPUNIT_ASSERT(!m_Spreader.source(m_Now));
  }

  void testLargeChangesAreOnlyAnnounced() {
    m_Mirror.apply(Revision(11), {entry(11, 3000)});
    m_Spreader.spreadIfNew(true, m_Now);
    CPPUNIT_ASSERT(!m_Sent.empty());
    for (const Sent &Each : m_Sent) {
      CPPUNIT_ASSERT(Each.m_News.m_Changes.empty());
      CPPUNIT_ASSERT_EQUAL(std::int64_t(11), Each.m_News.m_StoreRevision);
    }
  }

  void testUnreadableChangesChangeNothing() {
    StoreNews News = newsOf(10, 12, NewsScope::Section);
    News.m_Changes = "garbage";
    CPPUNIT_ASSERT_THROW(m_Spreader.handle(address(1), News, m_Now),
                         core::Error);
    CPPUNIT_ASSERT(m_Mirror.revision() == Revision(10));
    CPPUNIT_ASSERT(m_Sent.empty());
  }

  void testHeartbeatsReachOtherGroups() {
    m_Spreader.sendHeartbeat({{7, 0}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Heartbeats.size());
    CPPUNIT_ASSERT(m_Heartbeats[0].m_Heartbeat.m_Scope == NewsScope::Section);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(10),
                         m_Heartbeats[0].m_Heartbeat.m_StoreRevision);
    m_Spreader.passHeartbeat(NewsScope::Section, {{7, 3}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Heartbeats.size());
    CPPUNIT_ASSERT(m_Heartbeats[1].m_Heartbeat.m_Scope == NewsScope::Group);
    CPPUNIT_ASSERT(!m_Heartbeats[1].m_To.empty());
    m_Spreader.passHeartbeat(NewsScope::Group, {{7, 3}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Heartbeats.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreNewsSpreaderTest);
