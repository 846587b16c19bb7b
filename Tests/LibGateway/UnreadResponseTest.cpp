//===-- UnreadResponseTest.cpp - What unread responses say of targets -----===//
//
// Guards against an instance that takes the time in which a caller doesn't read
// its response for work, slowness or a failure of the target: others then wait
// for free slots, and sound targets are avoided.
//
//===----------------------------------------------------------------------===//
#include "SlowCallerFixture.h"

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class UnreadResponseTest : public SlowCallerFixture {
  CPPUNIT_TEST_SUITE(UnreadResponseTest);
  CPPUNIT_TEST(testSlotIsFreeOnceItsResponseIsRead);
  CPPUNIT_TEST_SUITE_END();

  /// Responses of BufferedBytes that fill the buffers of a connection.
  static constexpr std::size_t ManyResponses = 64;

  void sendShortInTime() {
    auto Begin = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/short")).m_Status);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Begin < Objective);
  }

public:
  /// Responses that the gateway has read and callers have not taken.
  void testSlotIsFreeOnceItsResponseIsRead() {
    startGateway();
    for (std::size_t I = 0; I < Slots; ++I)
      sendWithoutReading("/once/buffered", ManyResponses);
    int Sent = 0;
    do {
      Sent = m_Target->m_ShortResponses;
      std::this_thread::sleep_for(milliseconds(200));
    } while (m_Target->m_ShortResponses != Sent);
    CPPUNIT_ASSERT(Sent < static_cast<int>(Slots * ManyResponses));
    sendShortInTime();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(UnreadResponseTest);
