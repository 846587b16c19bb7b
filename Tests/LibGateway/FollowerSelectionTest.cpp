#include "LibGateway/FollowerSelection.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace yardrill;
using namespace yardrill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// All instances of a fleet; whom the store serves, the others hear to follow.
class Fleet {
public:
  explicit Fleet(std::size_t Size) : m_Duties(Size), m_IsServed(Size, true) {
    for (std::size_t I = 0; I < Size; ++I)
      m_Duties[I].setRank(I);
  }

  /// Of instances in the order of their ranks.
  std::vector<bool> &served() { return m_IsServed; }

  void pass(core::Duration Time) {
    static constexpr milliseconds Step{100};
    for (core::TimePoint End = m_Now + Time; m_Now < End; m_Now += Step) {
      std::size_t Before = 0;
      std::vector<std::size_t> Heard;
      for (std::size_t I = 0; I < m_Duties.size(); ++I) {
        Heard.push_back(Before);
        Before += m_Duties[I].isSelected() && m_IsServed[I] ? 1 : 0;
      }
      for (std::size_t I = 0; I < m_Duties.size(); ++I)
        m_Duties[I].update(Heard[I], m_Now);
    }
  }
  /// Who asks the store; who of them is served.
  std::size_t asking() const {
    std::size_t Out = 0;
    for (const FollowerSelection &Each : m_Duties)
      Out += Each.isSelected() ? 1 : 0;
    return Out;
  }
  std::size_t following() const {
    std::size_t Out = 0;
    for (std::size_t I = 0; I < m_Duties.size(); ++I)
      Out += m_Duties[I].isSelected() && m_IsServed[I] ? 1 : 0;
    return Out;
  }

private:
  std::vector<FollowerSelection> m_Duties;
  std::vector<bool> m_IsServed;
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
  CPPUNIT_TEST_SUITE_END();

public:
  void testFewInstancesFollow() {
    for (std::size_t Size : {9, 89, 295, 440}) {
      Fleet All(Size);
      All.pass(seconds(5));
      CPPUNIT_ASSERT_EQUAL(FollowerSelection::DesiredFollowers, All.asking());
    }
  }

  void testNextRanksReplaceLostFollowers() {
    Fleet All(295);
    All.pass(seconds(5));
    for (std::size_t I = 0; I < 6; ++I)
      All.served()[I] = false;
    All.pass(seconds(2));
    CPPUNIT_ASSERT(All.following() >= FollowerSelection::DesiredFollowers);
    // Those that are turned away keep trying.
    CPPUNIT_ASSERT(All.asking() <= 18);
  }

  void testFollowersWhenAThirdIsRejected() {
    Fleet All(295);
    All.pass(seconds(5));
    for (std::size_t I = 0; I < 295; I += 3)
      All.served()[I] = false;
    All.pass(seconds(3));
    CPPUNIT_ASSERT_EQUAL(FollowerSelection::DesiredFollowers, All.following());
  }

  void testUnavailableStoreIsTriedByFew() {
    Fleet All(295);
    All.pass(seconds(5));
    All.served().assign(295, false);
    All.pass(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), All.asking());
    All.pass(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t(48), All.asking());
  }

  void testFirstRanksResumeFollowing() {
    Fleet All(295);
    All.served().assign(295, false);
    All.pass(seconds(10));
    All.served().assign(295, true);
    All.pass(seconds(2));
    CPPUNIT_ASSERT_EQUAL(FollowerSelection::DesiredFollowers, All.asking());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowerSelectionTest);
