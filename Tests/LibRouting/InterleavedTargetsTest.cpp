//===-- InterleavedTargetsTest.cpp - Order and cost of target changes -----===//
#include "LibRouting/InterleavedTargets.h"

#include "LibRouting/FleetSubset.h"
#include "LibRouting/TargetDirectory.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <random>

using namespace yardrill;
using namespace yardrill::routing;

/// Costs are measured in visited pool members instead of time.
class InterleavedTargetsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InterleavedTargetsTest);
  CPPUNIT_TEST(testMatchesInterleavedOrder);
  CPPUNIT_TEST(testSubsetRanksMatchIsInSubset);
  CPPUNIT_TEST(testChangeCostIsLogarithmic);
  CPPUNIT_TEST(testBulkAnnouncementBuildsSubsetOnce);
  CPPUNIT_TEST(testRemoteLoadIsCleared);
  CPPUNIT_TEST_SUITE_END();

  static Target target(std::size_t Index, std::size_t Halls) {
    Target Out;
    Out.m_Name = core::TargetName("t-" + std::to_string(Index));
    Out.m_Pool = core::PoolName("pool");
    // Data halls of different sizes.
    std::size_t Hall = Index % (Halls * 2);
    Out.m_DataHall = core::DataHallName(
        "hall-" + std::to_string(Hall < Halls ? Hall : Hall % 2));
    return Out;
  }
  static FleetSubset subset(std::size_t Instances, std::size_t Targets) {
    FleetSubset::Fleet Fleet;
    for (std::size_t I = 0; I < Instances; ++I)
      Fleet[{"10." + std::to_string(1 + I / 200) + ".0." +
                 std::to_string(10 + I % 200),
             7600}] = core::DataHallName("hall-" + std::to_string(I % 3));
    return {Fleet.begin()->first, Fleet,
            FleetSubset::groupSizeFor(Instances, Targets)};
  }

public:
  void testMatchesInterleavedOrder() {
    std::mt19937_64 Random(7);
    for (std::size_t Halls : {1, 2, 3, 5, 14}) {
      std::deque<KnownTarget> Storage;
      std::vector<KnownTarget *> Inserted;
      InterleavedTargets Order;
      for (std::size_t Step = 0; Step < 300; ++Step) {
        if (Inserted.empty() || Random() % 3 != 0) {
          KnownTarget &Added = Storage.emplace_back();
          Added.m_Target = target(Step, Halls);
          Added.m_Hash = Added.m_Target.incarnation().hash();
          Order.insert(Added);
          Inserted.push_back(&Added);
        } else {
          std::size_t Removed = Random() % Inserted.size();
          Order.erase(*Inserted[Removed]);
          Inserted.erase(Inserted.begin() + static_cast<long>(Removed));
        }
        std::vector<DataHallMember> Members;
        for (const KnownTarget *Each : Inserted)
          Members.push_back({Each->m_Target.m_DataHall, Each->m_Hash});
        std::vector<std::size_t> Sorted = interleavedOrder(Members);
        std::size_t First = Random() % (Inserted.size() + 1);
        std::size_t Last = First + Random() % (Inserted.size() + 1 - First);
        std::vector<KnownTarget *> Slice = Order.slice(First, Last);
        CPPUNIT_ASSERT_EQUAL(Last - First, Slice.size());
        for (std::size_t I = First; I < Last; ++I)
          CPPUNIT_ASSERT(Slice[I - First] == Inserted[Sorted[I]]);
      }
    }
  }

  void testSubsetRanksMatchIsInSubset() {
    for (std::size_t Size : {1, 6, 24, 89, 295, 440})
      for (std::size_t Count : {1, 3, 8, 90, 161, 1002, 12000}) {
        FleetSubset Subset = subset(Size, Count);
        FleetSubset::RankRange Ranks = Subset.subsetRanks(Count);
        for (std::size_t Rank = 0; Rank < Count; ++Rank)
          CPPUNIT_ASSERT_EQUAL(Subset.isInSubset(Rank, Count),
                               Rank >= Ranks.m_First && Rank < Ranks.m_End);
      }
  }

  /// Guards against sorting the whole pool whenever a target is added, changed
  /// or removed.
  void testChangeCostIsLogarithmic() {
    core::PoolName Pool("pool");
    for (std::size_t Count : {90, 1002, 3000, 12000}) {
      TargetDirectory Targets;
      Targets.setSubset(subset(300, Count));
      for (std::size_t I = 0; I < Count; ++I)
        Targets.announce(target(I, 3));
      std::size_t SubsetSize = Targets.subsetOf(Pool).size();
      std::size_t Before = Targets.visitCount();
      core::TimePoint Now{std::chrono::hours(1)};
      static constexpr std::size_t Changes = 50;
      for (std::size_t I = 0; I < Changes; ++I) {
        Targets.announce(target(Count + I, 3));
        Targets.subsetOf(Pool);
        Target Leaving = target(I, 3);
        Leaving.m_IsLeaving = true;
        Targets.announce(Leaving);
        Targets.subsetOf(Pool);
        Targets.withdraw(Leaving.m_Name, Now);
        Now += std::chrono::seconds(3);
        Targets.removeExpired(Now);
        Targets.subsetOf(Pool);
      }
      // Two rebuilds with two searches in each of three halls, and one search
      // for each insertion and removal. A rank is computed by at most one
      // comparison with each other hall.
      static constexpr std::size_t Halls = 3;
      double Search = std::log2(static_cast<double>(Count)) + 1;
      double Each =
          static_cast<double>(Targets.visitCount() - Before) / Changes;
      double RebuildCost =
          Halls * (Halls * 2 * Search + static_cast<double>(SubsetSize));
      CPPUNIT_ASSERT(Each <= 2 * (RebuildCost + Search));
    }
  }

  void testBulkAnnouncementBuildsSubsetOnce() {
    static constexpr std::size_t Count = 12000;
    TargetDirectory Targets;
    Targets.setSubset(subset(300, Count));
    for (std::size_t I = 0; I < Count; ++I)
      Targets.announce(target(I, 3));
    Targets.subsetOf(core::PoolName("pool"));
    CPPUNIT_ASSERT(Targets.visitCount() <= Count * 20);
  }

  void testRemoteLoadIsCleared() {
    TargetDirectory Targets;
    for (std::size_t I = 0; I < 3; ++I)
      Targets.announce(target(I, 1));
    auto HashOf = [](std::size_t I) {
      return target(I, 1).incarnation().hash();
    };
    auto Running = [&](std::size_t I) {
      return Targets.find(target(I, 1).m_Name)->running();
    };
    Targets.setRemoteLoad(
        {{HashOf(0), {3, 0}}, {HashOf(1), {2, 0}}, {99, {7, 0}}});
    Targets.setRemoteLoad({{HashOf(1), {1, 0}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Running(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Running(1));
    // A target moves to another data hall while it has remote load.
    Target Moved = target(1, 1);
    Moved.m_DataHall = core::DataHallName("another");
    Targets.announce(Moved);
    Targets.setRemoteLoad({});
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Running(1));
    // A target with remote load is removed.
    Targets.setRemoteLoad({{HashOf(2), {3, 0}}});
    Targets.withdraw(target(2, 1).m_Name, core::TimePoint());
    Targets.removeExpired(core::TimePoint() + std::chrono::seconds(9));
    Targets.setRemoteLoad({});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Targets.all().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterleavedTargetsTest);
