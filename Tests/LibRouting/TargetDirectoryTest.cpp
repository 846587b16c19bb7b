#include "LibRouting/TargetDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

class TargetDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetDirectoryTest);
  CPPUNIT_TEST(testSmallPoolThatLeavesIsForgottenSoon);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  TargetDirectory m_Targets;

  void announce(const char *Name, const char *Pool) {
    Target What;
    What.m_Name = core::TargetName(Name);
    What.m_Pool = core::PoolName(Pool);
    m_Targets.announce(What);
  }

public:
  /// What users saw: a request reached a target 2.2 s after it had left, where
  /// 2 s are allowed. Two of a pool of three left within a second, one of them
  /// without a word before; over half of a pool was taken as an outage of the
  /// store, for which announcements are missed for longer. It was no outage:
  /// the announcements of all other pools stood.
  void testSmallPoolThatLeavesIsForgottenSoon() {
    for (const char *Name : {"a", "b", "c"})
      announce(Name, "small");
    for (const char *Name : {"d", "e", "f", "g"})
      announce(Name, "other");
    m_Targets.withdraw(core::TargetName("a"), m_Now);
    m_Now += milliseconds(900);
    m_Targets.withdraw(core::TargetName("b"), m_Now);
    m_Now += milliseconds(300);
    m_Targets.forgetLapsed(m_Now);
    CPPUNIT_ASSERT(!m_Targets.find(core::TargetName("a")));
    CPPUNIT_ASSERT(m_Targets.find(core::TargetName("b")));
    m_Now += milliseconds(900);
    m_Targets.forgetLapsed(m_Now);
    CPPUNIT_ASSERT(!m_Targets.find(core::TargetName("b")));
    // Most of all at once: an outage.
    for (const char *Name : {"c", "d", "e"})
      m_Targets.withdraw(core::TargetName(Name), m_Now);
    m_Now += milliseconds(2000);
    m_Targets.forgetLapsed(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), m_Targets.all().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetDirectoryTest);
