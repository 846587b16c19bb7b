//===-- FleetSubsetTest.cpp - Groups of instances and their targets -------===//
#include "LibRouting/FleetSubset.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace yardrill;
using namespace yardrill::routing;

class FleetSubsetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetSubsetTest);
  CPPUNIT_TEST(testSmallFleetIsOneGroup);
  CPPUNIT_TEST(testGroupsCoverTheFleetAndTheTargets);
  CPPUNIT_TEST(testEachGroupMixesDataHalls);
  CPPUNIT_TEST(testFewTargetsAreSharedByAll);
  CPPUNIT_TEST(testSubsetGrowsSmoothlyWithPool);
  CPPUNIT_TEST(testInstancesStartAtDifferentTargets);
  CPPUNIT_TEST(testOneMoreInstanceMovesFewTargets);
  CPPUNIT_TEST_SUITE_END();

  static config::Endpoint address(std::size_t Index) {
    return {"10.1.0." + std::to_string(100 + Index), 7600};
  }
  /// Data halls with 50%, 30% and 20% of the fleet.
  static core::DataHallName hallOf(std::size_t Index) {
    static const char *Halls[] = {"a", "a", "b", "a", "c",
                                  "a", "b", "a", "c", "b"};
    return core::DataHallName(Halls[Index % 10]);
  }
  static FleetSubset::Fleet fleet(std::size_t Size) {
    FleetSubset::Fleet Out;
    for (std::size_t I = 0; I < Size; ++I)
      Out[address(I)] = hallOf(I);
    return Out;
  }

public:
  void testSmallFleetIsOneGroup() {
    FleetSubset Subset(address(3), fleet(7));
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Subset.groupMembers().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Subset.groupCount());
    for (std::size_t Rank = 0; Rank < 12; ++Rank)
      CPPUNIT_ASSERT(Subset.isInSubset(Rank, 12));
    CPPUNIT_ASSERT(FleetSubset().isInSubset(5, 6));
  }

  void testGroupsCoverTheFleetAndTheTargets() {
    auto Fleet = fleet(89);
    std::map<std::size_t, int> Owners;
    for (std::size_t I = 0; I < 89; ++I) {
      FleetSubset Subset(address(I), Fleet);
      CPPUNIT_ASSERT_EQUAL(std::size_t(12), Subset.groupCount());
      CPPUNIT_ASSERT(Subset.groupMembers().size() >= 6 &&
                     Subset.groupMembers().size() <= 7);
      for (const config::Endpoint &Peer : Subset.groupMembers())
        CPPUNIT_ASSERT(FleetSubset(Peer, Fleet).isGroupPeer(address(I)));
      for (std::size_t Rank = 0; Rank < 90; ++Rank)
        Owners[Rank] += Subset.isInSubset(Rank, 90) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(90), Owners.size());
    for (const auto &[Rank, Count] : Owners)
      CPPUNIT_ASSERT(Count >= 7 && Count <= 8);
  }

  void testFewTargetsAreSharedByAll() {
    FleetSubset Subset(address(40), fleet(89));
    for (std::size_t Rank = 0; Rank < 3; ++Rank)
      CPPUNIT_ASSERT(Subset.isInSubset(Rank, 3));
    CPPUNIT_ASSERT(!Subset.isInSubset(89, 90) || !Subset.isInSubset(0, 90));
  }

  // Guards against pool sizes below which all groups share all targets without
  // seeing each other's load.
  void testSubsetGrowsSmoothlyWithPool() {
    for (std::size_t Size : {6, 24, 89, 295, 440}) {
      std::size_t Before = 0;
      for (std::size_t Count = 3; Count <= 12000; Count += 1 + Count / 8) {
        FleetSubset Subset(address(Size / 2), fleet(Size),
                           FleetSubset::groupSizeFor(Size, Count));
        std::size_t SubsetSize = 0;
        for (std::size_t Rank = 0; Rank < Count; ++Rank)
          SubsetSize += Subset.isInSubset(Rank, Count) ? 1 : 0;
        // With an eighth more targets, the subset at most halves or doubles.
        if (Before != 0) {
          CPPUNIT_ASSERT(SubsetSize * 2 + 2 >= Before);
          CPPUNIT_ASSERT(SubsetSize <= Before * 2 + 2);
        }
        // Most instances that share a target are group peers.
        double Sharers =
            static_cast<double>(Size * SubsetSize) / static_cast<double>(Count);
        double GroupSize =
            static_cast<double>(Subset.groupMembers().size() + 1);
        if (Count >= Size / 2)
          CPPUNIT_ASSERT(GroupSize * 1.25 >= Sharers);
        Before = SubsetSize;
      }
    }
  }

  void testInstancesStartAtDifferentTargets() {
    auto Fleet = fleet(295);
    std::map<std::size_t, int> First;
    for (std::size_t I = 0; I < 295; ++I)
      ++First[FleetSubset(address(I), Fleet).firstIndex(8)];
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), First.size());
    for (const auto &[Index, Count] : First)
      CPPUNIT_ASSERT(Count <= 295 / 8 + 8);
  }

  void testOneMoreInstanceMovesFewTargets() {
    // Summed over the subsets of all instances.
    int Moved = 0;
    for (std::size_t I = 0; I < 89; ++I) {
      FleetSubset Before(address(I), fleet(89));
      FleetSubset After(address(I), fleet(90));
      for (std::size_t Rank = 0; Rank < 90; ++Rank)
        Moved +=
            Before.isInSubset(Rank, 90) != After.isInSubset(Rank, 90) ? 1 : 0;
    }
    CPPUNIT_ASSERT(Moved <= 2 * 89);
  }

  void testEachGroupMixesDataHalls() {
    auto Fleet = fleet(80);
    for (std::size_t I = 0; I < 80; ++I) {
      FleetSubset Subset(address(I), Fleet);
      std::map<core::DataHallName, int> Counts{{hallOf(I), 1}};
      for (const config::Endpoint &Peer : Subset.groupMembers())
        ++Counts[Fleet.at(Peer)];
      // 50%, 30% and 20% of eight, rounded down.
      CPPUNIT_ASSERT(Counts[core::DataHallName("a")] >= 3);
      CPPUNIT_ASSERT(Counts[core::DataHallName("b")] >= 2);
      CPPUNIT_ASSERT(Counts[core::DataHallName("c")] >= 1);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetSubsetTest);
