//===-- SlowCallerSlotTest.cpp - Slots of responses that were cut off -----===//
//
// Guards against an instance that counts a target's slots as taken after the
// target has cut off the responses that nobody read: other callers then wait
// for slots that are free.
//
//===----------------------------------------------------------------------===//
#include "SlowCallerFixture.h"

using namespace yardrill;
using namespace yardrill::tests;

class SlowCallerSlotTest : public SlowCallerFixture {
  CPPUNIT_TEST_SUITE(SlowCallerSlotTest);
  CPPUNIT_TEST(testSlotsAreFreeOnceUnreadResponsesAreCutOff);
  CPPUNIT_TEST_SUITE_END();

public:
  void testSlotsAreFreeOnceUnreadResponsesAreCutOff() {
    startGateway();
    m_Target->m_UnreadLimitMs = 500;
    for (std::size_t I = 0; I < Slots; ++I)
      sendWithoutReading("/once/large");
    CPPUNIT_ASSERT(eventually(
        [this] { return m_Target->m_CutOff == static_cast<int>(Slots); }));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    auto Begin = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/short")).m_Status);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Begin < Objective);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SlowCallerSlotTest);
