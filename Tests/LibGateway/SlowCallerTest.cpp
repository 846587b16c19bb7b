//===-- SlowCallerTest.cpp - Callers that read their responses slowly -----===//
//
// Guards against callers that don't read their responses and thereby delay
// others or fill the gateway's memory, and against a response that a target cut
// off and that looks complete to its caller.
//
//===----------------------------------------------------------------------===//
#include "SlowCallerFixture.h"

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class SlowCallerTest : public SlowCallerFixture {
  CPPUNIT_TEST_SUITE(SlowCallerTest);
  CPPUNIT_TEST(testOthersAreServedWhileACallerDoesNotRead);
  CPPUNIT_TEST(testUnreadBodyIsNotHeld);
  CPPUNIT_TEST(testUnreadEventsAreNotHeld);
  CPPUNIT_TEST(testCutOffBodyLooksIncomplete);
  CPPUNIT_TEST(testCutOffEventsLookIncomplete);
  CPPUNIT_TEST_SUITE_END();

  /// Largest amount that may be held for one caller, socket buffers of both
  /// connections included: an eighth of the response.
  static constexpr std::size_t MaxHeldBytes =
      LargeResponseTarget::LargeBytes / 8;

  /// Waits until the target can send no more.
  std::size_t sentBytesAtRest() const {
    std::size_t Last = 0;
    do {
      Last = m_Target->m_SentBytes;
      std::this_thread::sleep_for(milliseconds(400));
    } while (m_Target->m_SentBytes != Last);
    return Last;
  }
  void checkHeldBytes(const std::string &Path) {
    startGateway();
    sendWithoutReading(Path);
    CPPUNIT_ASSERT(eventually([this] { return m_Target->m_SentBytes > 0; }));
    std::size_t Held = sentBytesAtRest();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Held) + " bytes are held",
                           Held < MaxHeldBytes);
  }
  /// Returns all that a caller receives until its connection ends.
  static std::string readToEnd(tcp::socket &From) {
    std::string Out;
    boost::system::error_code Failure;
    asio::read(From, asio::dynamic_buffer(Out), Failure);
    return Out;
  }
  std::string receivedAfterCutOff(const std::string &Path) {
    startGateway();
    m_Target->m_UnreadLimitMs = 500;
    tcp::socket &Slow = sendWithoutReading(Path);
    CPPUNIT_ASSERT(eventually([this] { return m_Target->m_CutOff == 1; }));
    std::string Out = readToEnd(Slow);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), Out.substr(0, 12));
    return Out;
  }

public:
  void testOthersAreServedWhileACallerDoesNotRead() {
    startGateway();
    for (std::size_t I = 1; I < Slots; ++I)
      sendWithoutReading("/once/large");
    CPPUNIT_ASSERT(eventually([this] { return m_Target->m_SentBytes > 0; }));
    for (int I = 0; I < 20; ++I)
      sendShortInTime();
  }

  void testUnreadBodyIsNotHeld() { checkHeldBytes("/once/large"); }
  void testUnreadEventsAreNotHeld() { checkHeldBytes("/fragile/events"); }

  void testCutOffBodyLooksIncomplete() {
    CPPUNIT_ASSERT(receivedAfterCutOff("/once/large").size() <
                   LargeResponseTarget::LargeBytes);
  }

  void testCutOffEventsLookIncomplete() {
    std::string Received = receivedAfterCutOff("/fragile/events");
    std::string End = "0\r\n\r\n";
    CPPUNIT_ASSERT(Received.size() < End.size() ||
                   Received.substr(Received.size() - End.size()) != End);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SlowCallerTest);
