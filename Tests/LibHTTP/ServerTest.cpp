//===-- ServerTest.cpp - Pipelining and disconnects of callers ------------===//
//
// Guards against a stalled event loop and a missed disconnect when the data
// that an event reports has already been read.
//
//===----------------------------------------------------------------------===//
#include "LibHTTP/Server.h"

#include <atomic>
#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace yardrill;
using namespace yardrill::http;
namespace asio = boost::asio;
using asio::ip::tcp;

class ServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerTest);
  CPPUNIT_TEST(testFastClientsDoNotBlockEventLoop);
  CPPUNIT_TEST(testDisconnectIsDetectedAfterSplitBody);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int Callers = 64;
  static constexpr int RequestsPerCaller = 300;

  asio::io_context m_Context{1};
  std::unique_ptr<Server> m_Server;
  std::thread m_Thread;
  std::atomic<int> m_Disconnects{0};
  std::atomic<int> m_FinishedCallers{0};

  void start(std::chrono::milliseconds ResponseDelay) {
    m_Server = Server::create(
        m_Context, {asio::ip::make_address("127.0.0.1"), 0}, ServerLimits(),
        [this, ResponseDelay](Exchange &Call, asio::yield_context Yield) {
          Call.setDisconnectCallback([this] { ++m_Disconnects; });
          asio::steady_timer Timer(m_Context, ResponseDelay);
          boost::system::error_code Ignored;
          Timer.async_wait(Yield[Ignored]);
          ResponseMessage Response;
          Response.m_Head.m_Status = 200;
          Call.sendResponse(std::move(Response), Yield);
        },
        [](unsigned Status) {
          ResponseMessage Out;
          Out.m_Head.m_Status = Status;
          return Out;
        });
    m_Thread = std::thread([this] { m_Context.run(); });
  }
  tcp::socket connect(asio::io_context &ClientContext) const {
    tcp::socket Out(ClientContext);
    Out.connect({asio::ip::make_address("127.0.0.1"), m_Server->port()});
    Out.set_option(tcp::no_delay(true));
    return Out;
  }
  /// Sends a request whose body ends in a packet of its own.
  static void sendSplitRequest(tcp::socket &Socket) {
    static const std::string Head =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n";
    asio::write(Socket, asio::buffer(Head));
    asio::write(Socket, asio::buffer("one", 3));
    asio::write(Socket, asio::buffer("two", 3));
  }
  /// Sends requests in succession, on the server's thread, so that the next one
  /// often arrives before the write of the last response has returned.
  void callMany(asio::yield_context Yield) {
    tcp::socket Socket(m_Context);
    Socket.async_connect(
        {asio::ip::make_address("127.0.0.1"), m_Server->port()}, Yield);
    static const std::string Request = "POST / HTTP/1.1\r\nHost: h\r\n"
                                       "Content-Length: 6\r\n\r\nonetwo";
    for (int I = 0; I < RequestsPerCaller; ++I) {
      asio::async_write(Socket, asio::buffer(Request), Yield);
      char Response[256];
      Socket.async_read_some(asio::buffer(Response), Yield);
    }
    ++m_FinishedCallers;
  }

public:
  void tearDown() override {
    m_Context.stop();
    m_Thread.join();
  }

  void testFastClientsDoNotBlockEventLoop() {
    start(std::chrono::milliseconds(1));
    for (int I = 0; I < Callers; ++I)
      asio::spawn(
          m_Context, [this](asio::yield_context Yield) { callMany(Yield); },
          asio::detached);
    for (int I = 0; I < 4000 && m_FinishedCallers < Callers; ++I)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(Callers, m_FinishedCallers.load());
  }

  void testDisconnectIsDetectedAfterSplitBody() {
    start(std::chrono::seconds(30));
    for (int I = 0; I < 50; ++I) {
      asio::io_context ClientContext;
      tcp::socket Socket = connect(ClientContext);
      sendSplitRequest(Socket);
      std::this_thread::sleep_for(std::chrono::milliseconds(3));
    }
    for (int I = 0; I < 200 && m_Disconnects < 50; ++I)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    CPPUNIT_ASSERT_EQUAL(50, m_Disconnects.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);
