#include "LibRouting/FleetShare.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace yardrill;
using namespace yardrill::routing;

class FleetShareTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetShareTest);
  CPPUNIT_TEST(testSmallFleetIsOneGroup);
  CPPUNIT_TEST(testGroupsCoverTheFleetAndTheTargets);
  CPPUNIT_TEST(testEachGroupIsAMixOfAllHalls);
  CPPUNIT_TEST(testFewTargetsAreSharedByAll);
  CPPUNIT_TEST(testOneMoreInstanceMovesFewTargets);
  CPPUNIT_TEST_SUITE_END();

  static config::Endpoint address(std::size_t Index) {
    return {"10.1.0." + std::to_string(100 + Index), 7600};
  }
  /// Halls of one half, three tenths and a fifth of the fleet.
  static core::DataHallName hallOf(std::size_t Index) {
    static const char *Halls[] = {"a", "a", "b", "a", "c",
                                  "a", "b", "a", "c", "b"};
    return core::DataHallName(Halls[Index % 10]);
  }
  static FleetShare::Fleet fleet(std::size_t Size) {
    FleetShare::Fleet Out;
    for (std::size_t I = 0; I < Size; ++I)
      Out[address(I)] = hallOf(I);
    return Out;
  }

public:
  void testSmallFleetIsOneGroup() {
    FleetShare Share(address(3), fleet(7));
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Share.near().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Share.groups());
    for (std::size_t Rank = 0; Rank < 12; ++Rank)
      CPPUNIT_ASSERT(Share.isOwn(Rank, 12));
    CPPUNIT_ASSERT(FleetShare().isOwn(5, 6));
  }

  void testGroupsCoverTheFleetAndTheTargets() {
    auto Fleet = fleet(89);
    std::map<std::size_t, int> Owners;
    for (std::size_t I = 0; I < 89; ++I) {
      FleetShare Share(address(I), Fleet);
      CPPUNIT_ASSERT_EQUAL(std::size_t(12), Share.groups());
      CPPUNIT_ASSERT(Share.near().size() >= 6 && Share.near().size() <= 7);
      for (const config::Endpoint &Peer : Share.near())
        CPPUNIT_ASSERT(FleetShare(Peer, Fleet).isNear(address(I)));
      for (std::size_t Rank = 0; Rank < 90; ++Rank)
        Owners[Rank] += Share.isOwn(Rank, 90) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(90), Owners.size());
    for (const auto &[Rank, Count] : Owners)
      CPPUNIT_ASSERT(Count >= 7 && Count <= 8);
  }

  void testFewTargetsAreSharedByAll() {
    FleetShare Share(address(40), fleet(89));
    CPPUNIT_ASSERT(Share.isShared(3));
    for (std::size_t Rank = 0; Rank < 3; ++Rank)
      CPPUNIT_ASSERT(Share.isOwn(Rank, 3));
    CPPUNIT_ASSERT(!Share.isShared(90));
  }

  void testOneMoreInstanceMovesFewTargets() {
    // Whichever instance looks, and on the average of all.
    int Moved = 0;
    for (std::size_t I = 0; I < 89; ++I) {
      FleetShare Before(address(I), fleet(89));
      FleetShare After(address(I), fleet(90));
      for (std::size_t Rank = 0; Rank < 90; ++Rank)
        Moved += Before.isOwn(Rank, 90) != After.isOwn(Rank, 90) ? 1 : 0;
    }
    CPPUNIT_ASSERT(Moved <= 2 * 89);
  }

  void testEachGroupIsAMixOfAllHalls() {
    auto Fleet = fleet(80);
    for (std::size_t I = 0; I < 80; ++I) {
      FleetShare Share(address(I), Fleet);
      std::map<core::DataHallName, int> Counts{{hallOf(I), 1}};
      for (const config::Endpoint &Peer : Share.near())
        ++Counts[Fleet.at(Peer)];
      // Halves, three tenths and a fifth of eight.
      CPPUNIT_ASSERT(Counts[core::DataHallName("a")] >= 3);
      CPPUNIT_ASSERT(Counts[core::DataHallName("b")] >= 2);
      CPPUNIT_ASSERT(Counts[core::DataHallName("c")] >= 1);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetShareTest);
