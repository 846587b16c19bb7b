//===-- ConnectionEndTest.cpp - How connections of callers end ------------===//
//
// Guards against a request that is handled although its caller sees an end of
// the connection that looks as if it had not been read, and sends it again.
//
//===----------------------------------------------------------------------===//
#include "LibCore/Error.h"
#include "LibHTTP/Server.h"

#include "SilentSocket.h"

#include <boost/asio.hpp>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace yardrill;
using namespace yardrill::http;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class ConnectionEndTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionEndTest);
  CPPUNIT_TEST(testStopAfterEachStep);
  CPPUNIT_TEST(testIdleTimeoutAfterEachStep);
  CPPUNIT_TEST(testStopEndsIdleConnections);
  CPPUNIT_TEST(testFailedHandlerIsAnswered);
  CPPUNIT_TEST(testBytesBehindARequestDoNotResetItsResponse);
  CPPUNIT_TEST(testBrokenOffResponseKeepsWhatWasSent);
  CPPUNIT_TEST(testCallerThatLeavesAfterFurtherBytesIsNoticed);
  CPPUNIT_TEST(testSilentCallerIsNoticed);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int Steps = 16;
  /// Larger than what a caller with SmallReceiveBuffer takes unread.
  static constexpr std::size_t LargeBytes = 200000;
  static constexpr int SmallReceiveBuffer = 4096;

  /// What a caller has seen of its connection.
  struct Seen {
    std::string m_Bytes;
    error_code m_End;

    int responses() const {
      int Out = 0;
      for (std::size_t At = 0;
           (At = m_Bytes.find("HTTP/1.1 200", At)) != std::string::npos; ++At)
        ++Out;
      return Out;
    }
    std::string describe() const {
      return std::to_string(m_Bytes.size()) + " bytes, then " + m_End.message();
    }
  };

  std::unique_ptr<asio::io_context> m_Context;
  std::unique_ptr<Server> m_Server;
  asio::io_context m_CallerContext;
  int m_Handled = 0;

  void start(const ServerLimits &Limits, Server::Handler Handle) {
    m_Server.reset();
    m_Context = std::make_unique<asio::io_context>(1);
    m_Handled = 0;
    m_Server = Server::create(
        *m_Context, {asio::ip::make_address("127.0.0.1"), 0}, Limits,
        [this, Handle = std::move(Handle)](Exchange &Call,
                                           asio::yield_context Yield) {
          ++m_Handled;
          Handle(Call, Yield);
        },
        emptyResponse);
  }
  static void respond(Exchange &Call, asio::yield_context Yield) {
    try {
      Call.sendResponse(emptyResponse(200), Yield);
    } catch (const core::Error &) {
      // The test sees that there is no response.
    }
  }
  tcp::socket connect(int ReceiveBuffer = 0) {
    tcp::socket Out(m_CallerContext, tcp::v4());
    if (ReceiveBuffer != 0)
      Out.set_option(asio::socket_base::receive_buffer_size(ReceiveBuffer));
    Out.connect({asio::ip::make_address("127.0.0.1"), m_Server->port()});
    return Out;
  }
  static void sendRequest(tcp::socket &To) {
    static const std::string Request = "POST /a HTTP/1.1\r\nHost: h\r\n"
                                       "Content-Length: 2\r\n\r\n{}";
    asio::write(To, asio::buffer(Request));
  }
  void step(int Count) {
    for (int I = 0; I < Count; ++I) {
      m_Context->poll_one();
      m_Context->restart();
    }
  }
  void runFor(milliseconds Time) {
    m_Context->run_for(Time);
    m_Context->restart();
  }
  /// Reads what has arrived, without waiting for more.
  static Seen seenBy(tcp::socket &Caller) {
    Seen Out;
    Caller.non_blocking(true);
    asio::read(Caller, asio::dynamic_buffer(Out.m_Bytes), Out.m_End);
    return Out;
  }
  /// Reads to the end of the connection while the server runs.
  Seen seenToEnd(tcp::socket &Caller) {
    Seen Out;
    std::thread Reader([&] {
      char Bytes[1024];
      while (!Out.m_End) {
        std::size_t Size = Caller.read_some(asio::buffer(Bytes), Out.m_End);
        Out.m_Bytes.append(Bytes, Size);
        std::this_thread::sleep_for(milliseconds(1));
      }
    });
    runFor(milliseconds(1500));
    error_code Ignored;
    Caller.shutdown(tcp::socket::shutdown_both, Ignored);
    Reader.join();
    return Out;
  }
  /// Ends connections by \p End after each number of steps from the moment when
  /// a caller's request has arrived. It must be answered, or its connection be
  /// reset as one that was not read.
  void checkEndAfterEachStep(const ServerLimits &Limits, bool IsKept,
                             const std::function<void()> &End) {
    for (int N = 0; N < Steps; ++N) {
      start(Limits, respond);
      tcp::socket Caller = connect();
      if (IsKept) {
        // The next request arrives while this one's response is completed.
        sendRequest(Caller);
        for (int I = 0; I < 200 && m_Handled == 0; ++I)
          step(1);
      }
      sendRequest(Caller);
      std::this_thread::sleep_for(milliseconds(5));
      step(N);
      End();
      step(100);
      Seen Result = seenBy(Caller);
      std::string Case = (IsKept ? "kept connection, step " : "new, step ") +
                         std::to_string(N) + ": " + Result.describe();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case, m_Handled, Result.responses());
      CPPUNIT_ASSERT_MESSAGE(Case,
                             m_Handled == (IsKept ? 2 : 1) ||
                                 Result.m_End == asio::error::connection_reset);
    }
  }

public:
  void tearDown() override {
    m_Server.reset();
    m_Context.reset();
  }

  void testStopAfterEachStep() {
    for (bool IsKept : {false, true})
      checkEndAfterEachStep(ServerLimits(), IsKept,
                            [this] { m_Server->stopAccepting(); });
  }

  void testIdleTimeoutAfterEachStep() {
    ServerLimits Limits;
    Limits.m_IdleTimeout = milliseconds(20);
    for (bool IsKept : {false, true})
      checkEndAfterEachStep(Limits, IsKept, [] {
        std::this_thread::sleep_for(milliseconds(25));
      });
  }

  void testStopEndsIdleConnections() {
    start(ServerLimits(), respond);
    tcp::socket Unused = connect();
    tcp::socket Kept = connect();
    sendRequest(Kept);
    runFor(milliseconds(20));
    m_Server->stopAccepting();
    runFor(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Server->openConnections());
    CPPUNIT_ASSERT_EQUAL(1, seenBy(Kept).responses());
  }

  void testFailedHandlerIsAnswered() {
    start(ServerLimits(), [](Exchange &, asio::yield_context) {
      throw std::runtime_error("unexpected");
    });
    tcp::socket Caller = connect();
    sendRequest(Caller);
    Seen Result = seenToEnd(Caller);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Result.describe(), std::string("HTTP/1.1 500"),
                                 Result.m_Bytes.substr(0, 12));
  }

  void testBytesBehindARequestDoNotResetItsResponse() {
    start(ServerLimits(), [](Exchange &Call, asio::yield_context Yield) {
      ResponseMessage Out = emptyResponse(200);
      Out.m_Body = std::string(LargeBytes, 'x');
      Call.sendResponse(std::move(Out), Yield);
    });
    m_Server->disableKeepAlive();
    tcp::socket Caller = connect(SmallReceiveBuffer);
    sendRequest(Caller);
    runFor(milliseconds(20));
    asio::write(Caller, asio::buffer("\r\n", 2));
    Seen Result = seenToEnd(Caller);
    CPPUNIT_ASSERT_MESSAGE(Result.describe(),
                           Result.m_Bytes.size() > LargeBytes &&
                               Result.m_End == asio::error::eof);
  }

  void testBrokenOffResponseKeepsWhatWasSent() {
    start(ServerLimits(), [](Exchange &Call, asio::yield_context Yield) {
      Call.startStream(emptyResponse(200).m_Head, Yield);
      Call.sendBodyData(std::string(LargeBytes, 'x'), Yield);
      Call.abort();
    });
    tcp::socket Caller = connect(SmallReceiveBuffer);
    sendRequest(Caller);
    Seen Result = seenToEnd(Caller);
    CPPUNIT_ASSERT_MESSAGE(Result.describe(),
                           Result.m_Bytes.size() > LargeBytes &&
                               Result.m_End == asio::error::eof);
    std::string LastChunk = "0\r\n\r\n";
    CPPUNIT_ASSERT(Result.m_Bytes.substr(Result.m_Bytes.size() -
                                         LastChunk.size()) != LastChunk);
  }

  void testCallerThatLeavesAfterFurtherBytesIsNoticed() {
    const std::string Behind[] = {"", "\r\n", "GET /b HTTP/1.1\r\nHost: h\r\n",
                                  std::string(20000, 'x')};
    for (const std::string &Bytes : Behind)
      for (bool IsReset : {false, true}) {
        bool IsNoticed = false;
        start(ServerLimits(), [&](Exchange &Call, asio::yield_context Yield) {
          Call.setDisconnectCallback([&] { IsNoticed = true; });
          asio::steady_timer Work(*m_Context, seconds(5));
          Work.async_wait(Yield);
        });
        tcp::socket Caller = connect();
        sendRequest(Caller);
        runFor(milliseconds(20));
        asio::write(Caller, asio::buffer(Bytes));
        runFor(milliseconds(20));
        if (IsReset)
          Caller.set_option(asio::socket_base::linger(true, 0));
        Caller.close();
        runFor(milliseconds(200));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Bytes.size()) +
                                   " bytes behind the request, " +
                                   (IsReset ? "reset" : "closed"),
                               IsNoticed);
      }
  }

  void testSilentCallerIsNoticed() {
    bool IsNoticed = false;
    ServerLimits Limits;
    Limits.m_SilenceTimeout = seconds(2);
    start(Limits, [&](Exchange &Call, asio::yield_context Yield) {
      Call.setDisconnectCallback([&] { IsNoticed = true; });
      asio::steady_timer Work(*m_Context, seconds(8));
      Work.async_wait(Yield);
    });
    tcp::socket Caller = connect();
    sendRequest(Caller);
    runFor(milliseconds(20));
    tests::dropArrivals(Caller);
    runFor(milliseconds(1000));
    CPPUNIT_ASSERT(!IsNoticed);
    runFor(milliseconds(1700));
    CPPUNIT_ASSERT(IsNoticed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionEndTest);
