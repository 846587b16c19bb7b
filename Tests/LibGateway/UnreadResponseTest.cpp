//===-- UnreadResponseTest.cpp - What unread responses say of targets -----===//
//
// Guards against an instance that takes the time in which a caller doesn't read
// its response for work, slowness or a failure of the target: others then wait
// for free slots, and sound targets are avoided.
//
//===----------------------------------------------------------------------===//
#include "SlowCallerFixture.h"

#include "LibCore/Log.h"

#include <mutex>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class UnreadResponseTest : public SlowCallerFixture {
  CPPUNIT_TEST_SUITE(UnreadResponseTest);
  CPPUNIT_TEST(testSlotIsFreeOnceItsResponseIsRead);
  CPPUNIT_TEST(testCutOffOfUnreadResponseIsNoFailure);
  CPPUNIT_TEST_SUITE_END();

  /// Responses of BufferedBytes that fill the buffers of a connection.
  static constexpr std::size_t ManyResponses = 64;

  std::mutex m_Mutex;
  std::string m_LastSent; ///< Log line of the latest request that was sent.

  std::string lastSent() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_LastSent;
  }

public:
  void setUp() override {
    core::setLogSink([this](const std::string &Line) {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (Line.find("event=request-sent") != std::string::npos)
        m_LastSent = Line;
    });
  }
  void tearDown() override {
    SlowCallerFixture::tearDown();
    core::setLogSink(nullptr);
  }

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

  void testCutOffOfUnreadResponseIsNoFailure() {
    startGateway();
    m_Target->m_UnreadLimitMs = 1000;
    for (std::size_t I = 0; I < Slots; ++I)
      sendWithoutReading("/once/large");
    CPPUNIT_ASSERT(eventually(
        [this] { return m_Target->m_CutOff == static_cast<int>(Slots); }));
    std::this_thread::sleep_for(milliseconds(500));
    for (const auto &Each : m_SlowCallers) {
      std::string Ignored;
      boost::system::error_code End;
      asio::read(*Each, asio::dynamic_buffer(Ignored), End);
    }
    sendShortInTime();
    CPPUNIT_ASSERT_MESSAGE(lastSent(), lastSent().find(" failure_share=0") !=
                                           std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(lastSent(), lastSent().find(" failure_share=0.") ==
                                           std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(UnreadResponseTest);
