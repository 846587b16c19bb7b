//===-- SteppedStopTest.cpp - A stop at each step of a request ------------===//
//
// Guards against a request that a stopping gateway hands on although its caller
// sees the end of the connection and no byte, and sends it again.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"

using namespace yardrill;
using namespace yardrill::tests;
using boost::system::error_code;

class SteppedStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SteppedStopTest);
  CPPUNIT_TEST(testNewConnectionAndTargetThatAnswers);
  CPPUNIT_TEST(testKeptConnectionAndTargetThatAnswers);
  CPPUNIT_TEST(testNewConnectionAndTargetThatWorksOn);
  CPPUNIT_TEST(testKeptConnectionAndTargetThatWorksOn);
  CPPUNIT_TEST(testKeptConnectionAndTargetThatBreaksOff);
  CPPUNIT_TEST_SUITE_END();

  /// Number of handlers of the event loop within which a calm request is
  /// served.
  static constexpr int Steps = 40;

  /// One gateway that is stopped while it handles a request.
  class Run : public GatewayFixture {
  public:
    Run(const std::string &Answer, bool IsKept) {
      addTarget([Answer](const Request &Received) {
        if (std::string(Received.target()) == "/once/first" || Answer.empty())
          return completeResponse(Received, "first");
        return Answer;
      });
      startStepped();
      tcp::socket First = connect();
      sendRequest(First, "first");
      CPPUNIT_ASSERT(runUntil([&First] { return First.available() > 0; }));
      m_Caller = IsKept ? std::move(First) : connect();
      readAvailable();
      m_Received.clear();
    }
    ~Run() override { tearDown(); }

    /// Stops the gateway once \p Count handlers have run since its caller sent
    /// the request, and ends its process.
    void stopAfter(int Count) {
      sendRequest(m_Caller, "stepped");
      for (int I = 0; I < Count; ++I)
        m_Context.poll_one();
      m_Context.restart();
      bool IsStopped = false;
      m_Gateway->stop([&IsStopped] { IsStopped = true; });
      m_Gateway->endStop();
      CPPUNIT_ASSERT(runUntil([&IsStopped] { return IsStopped; }));
      tearDown();
    }
    bool isHandedOn() const { return m_IsHandedOn; }
    const std::string &received() const { return m_Received; }

    void tearDown() override {
      if (!m_OwnContext)
        return;
      for (const Request &Each : m_Targets.front()->requests())
        m_IsHandedOn |= std::string(Each.target()) == "/once/stepped";
      GatewayFixture::tearDown();
      readAvailable();
    }

  private:
    tcp::socket connect() {
      tcp::socket Out(m_CallerContext);
      Out.connect({asio::ip::make_address("127.0.0.1"),
                   static_cast<std::uint16_t>(m_CallerPort)});
      return Out;
    }
    static void sendRequest(tcp::socket &To, const std::string &Name) {
      asio::write(To,
                  asio::buffer("POST /once/" + Name +
                               " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + Name +
                               "\r\nApi-Key: key\r\nDeadline-Ms: 2000\r\n"
                               "Content-Length: 2\r\n\r\n{}"));
    }
    void readAvailable() {
      error_code Ignored;
      m_Caller.non_blocking(true);
      asio::read(m_Caller, asio::dynamic_buffer(m_Received), Ignored);
    }

    asio::io_context m_CallerContext;
    tcp::socket m_Caller{m_CallerContext};
    std::string m_Received;
    bool m_IsHandedOn = false;
  };

  static void checkAllSteps(const std::string &Answer, bool IsKept) {
    int HandedOn = 0;
    for (int Count = 0; Count < Steps; ++Count) {
      Run Stopped(Answer, IsKept);
      Stopped.stopAfter(Count);
      std::string Step = "stop after step " + std::to_string(Count) + ": \"" +
                         Stopped.received().substr(0, 12) + "\"";
      bool IsRefused = Stopped.received().find("HTTP/1.1 503") == 0;
      HandedOn += Stopped.isHandedOn() ? 1 : 0;
      if (Stopped.isHandedOn()) {
        CPPUNIT_ASSERT_MESSAGE(Step, !Stopped.received().empty());
        CPPUNIT_ASSERT_MESSAGE(Step, !IsRefused);
      } else {
        CPPUNIT_ASSERT_MESSAGE(Step, Stopped.received().empty() || IsRefused);
      }
    }
    CPPUNIT_ASSERT(HandedOn > 0 && HandedOn < Steps);
  }

public:
  void testNewConnectionAndTargetThatAnswers() { checkAllSteps("", false); }
  void testKeptConnectionAndTargetThatAnswers() { checkAllSteps("", true); }
  void testNewConnectionAndTargetThatWorksOn() { checkAllSteps("wait", false); }
  void testKeptConnectionAndTargetThatWorksOn() { checkAllSteps("wait", true); }
  void testKeptConnectionAndTargetThatBreaksOff() {
    checkAllSteps("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx!", true);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SteppedStopTest);
