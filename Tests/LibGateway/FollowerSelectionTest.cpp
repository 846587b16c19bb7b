//===-- FollowerSelectionTest.cpp - Number of instances that follow -------===//
#include "LibGateway/FollowerSelection.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace yardrill;
using namespace yardrill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Follower selections of a whole fleet. An instance counts as a follower if it
/// is selected and reaches the store.
class Fleet {
public:
  explicit Fleet(std::size_t Size)
      : m_Selections(Size), m_CanReachStore(Size, true) {
    for (std::size_t I = 0; I < Size; ++I)
      m_Selections[I].setRank(I);
  }

  /// Whether each instance reaches the store, by rank.
  std::vector<bool> &reachable() { return m_CanReachStore; }

  /// Simulates the fleet for \p Time.
  void advance(core::Duration Time) {
    static constexpr milliseconds Step{100};
    for (core::TimePoint End = m_Now + Time; m_Now < End; m_Now += Step) {
      std::size_t FollowerCount = 0;
      std::vector<std::size_t> FollowersBefore;
      for (std::size_t I = 0; I < m_Selections.size(); ++I) {
        FollowersBefore.push_back(FollowerCount);
        FollowerCount +=
            m_Selections[I].isSelected() && m_CanReachStore[I] ? 1 : 0;
      }
      for (std::size_t I = 0; I < m_Selections.size(); ++I)
        m_Selections[I].update(FollowersBefore[I], m_Now);
    }
  }
  /// Returns the number of instances that call the store.
  std::size_t selectedCount() const {
    std::size_t Out = 0;
    for (const FollowerSelection &Each : m_Selections)
      Out += Each.isSelected() ? 1 : 0;
    return Out;
  }
  /// Returns the number of those that reach it.
  std::size_t followingCount() const {
    std::size_t Out = 0;
    for (std::size_t I = 0; I < m_Selections.size(); ++I)
      Out += m_Selections[I].isSelected() && m_CanReachStore[I] ? 1 : 0;
    return Out;
  }

private:
  std::vector<FollowerSelection> m_Selections;
  std::vector<bool> m_CanReachStore;
  core::TimePoint m_Now{std::chrono::hours(1)};
};

} // namespace

class FollowerSelectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FollowerSelectionTest);
  CPPUNIT_TEST(testFewInstancesFollow);
  CPPUNIT_TEST(testNextRanksReplaceLostFollowers);
  CPPUNIT_TEST(testFollowersWhenAThirdIsRejected);
  CPPUNIT_TEST(testUnavailableStoreIsTriedByFew);
  CPPUNIT_TEST(testFirstRanksResumeFollowing);
  CPPUNIT_TEST(testSurvivorsFollowWhenAllFirstRanksAreLost);
  CPPUNIT_TEST_SUITE_END();

public:
  void testFewInstancesFollow() {
    for (std::size_t Size : {9, 89, 295, 440}) {
      Fleet All(Size);
      All.advance(seconds(5));
      CPPUNIT_ASSERT_EQUAL(FollowerSelection::DesiredFollowers,
                           All.selectedCount());
    }
  }

  void testNextRanksReplaceLostFollowers() {
    Fleet All(295);
    All.advance(seconds(5));
    for (std::size_t I = 0; I < 6; ++I)
      All.reachable()[I] = false;
    All.advance(seconds(2));
    CPPUNIT_ASSERT(All.followingCount() >= FollowerSelection::DesiredFollowers);
    // Instances that the store rejects stay selected.
    CPPUNIT_ASSERT(All.selectedCount() <= 18);
  }

  void testFollowersWhenAThirdIsRejected() {
    Fleet All(295);
    All.advance(seconds(5));
    for (std::size_t I = 0; I < 295; I += 3)
      All.reachable()[I] = false;
    All.advance(seconds(3));
    CPPUNIT_ASSERT_EQUAL(FollowerSelection::DesiredFollowers,
                         All.followingCount());
  }

  void testUnavailableStoreIsTriedByFew() {
    Fleet All(295);
    All.advance(seconds(5));
    All.reachable().assign(295, false);
    All.advance(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), All.selectedCount());
    All.advance(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t(48), All.selectedCount());
  }

  void testFirstRanksResumeFollowing() {
    Fleet All(295);
    All.reachable().assign(295, false);
    All.advance(seconds(10));
    All.reachable().assign(295, true);
    All.advance(seconds(2));
    CPPUNIT_ASSERT_EQUAL(FollowerSelection::DesiredFollowers,
                         All.selectedCount());
  }

  void testSurvivorsFollowWhenAllFirstRanksAreLost() {
    // The recorded members include instances that are gone.
    Fleet All(985);
    All.advance(seconds(5));
    for (std::size_t I = 0; I < 900; ++I)
      All.reachable()[I] = false;
    All.advance(seconds(90));
    CPPUNIT_ASSERT(All.followingCount() >= FollowerSelection::DesiredFollowers);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowerSelectionTest);
