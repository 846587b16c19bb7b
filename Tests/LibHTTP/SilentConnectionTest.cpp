//===-- SilentConnectionTest.cpp - Connections that go silent -------------===//
//
// Guards against a call that waits for long on a connection whose packets are
// dropped without a reset, whether or not its request has arrived.
//
//===----------------------------------------------------------------------===//
#include "LibCore/Error.h"
#include "LibHTTP/ConnectionPool.h"
#include "SilentSocket.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::http;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::dropArrivals;
namespace asio = boost::asio;
using asio::ip::tcp;

class SilentConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SilentConnectionTest);
  CPPUNIT_TEST(testRequestThatDoesNotArrive);
  CPPUNIT_TEST(testResponseThatDoesNotCome);
  CPPUNIT_TEST(testSlowServerIsNotSilent);
  CPPUNIT_TEST_SUITE_END();

  static constexpr seconds SilenceTimeout{2};
  /// Kernel timers have a granularity, and probes are a second apart.
  static constexpr milliseconds MaxDetectionTime{2700};
  static constexpr seconds ResponseTimeout{8};

  asio::io_context m_Context{1};
  tcp::acceptor m_Acceptor{m_Context, {asio::ip::make_address("127.0.0.1"), 0}};
  ConnectionPool m_Pool{m_Context, {seconds(1), 4, SilenceTimeout}};

  /// Makes a call to a server that runs \p Serve. \returns the time until it
  /// failed.
  core::Duration timeToFailure(
      const std::function<void(tcp::socket &, asio::yield_context)> &Serve) {
    tcp::socket Accepted(m_Context);
    asio::spawn(
        m_Context,
        [&](asio::yield_context Yield) {
          m_Acceptor.async_accept(Accepted, Yield);
          Serve(Accepted, Yield);
        },
        asio::detached);
    core::Duration Elapsed{};
    asio::spawn(
        m_Context,
        [&](asio::yield_context Yield) {
          auto Connection =
              m_Pool.acquire(m_Acceptor.local_endpoint(), true, Yield);
          // The server is prepared before the request is sent.
          asio::steady_timer Pause(m_Context, milliseconds(50));
          Pause.async_wait(Yield);
          RequestMessage Request;
          Request.m_Method = "GET";
          Request.m_Target = "/";
          Request.m_Headers.set("Host", "h");
          core::TimePoint Start = core::steadyNow();
          try {
            Connection->sendRequest(Request, ResponseTimeout, Yield);
            Connection->readHead(ResponseTimeout, Yield);
          } catch (const core::Error &) {
            Elapsed = core::steadyNow() - Start;
          }
          m_Context.stop();
        },
        asio::detached);
    m_Context.run();
    return Elapsed;
  }

public:
  void testRequestThatDoesNotArrive() {
    core::Duration Time = timeToFailure(
        [](tcp::socket &Socket, asio::yield_context) { dropArrivals(Socket); });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Time.count()),
                           Time >= milliseconds(1500) &&
                               Time <= MaxDetectionTime);
  }

  void testResponseThatDoesNotCome() {
    core::Duration Time =
        timeToFailure([](tcp::socket &Socket, asio::yield_context Yield) {
          char Request[256];
          Socket.async_read_some(asio::buffer(Request), Yield);
          // The request is acknowledged before the silence.
          asio::steady_timer Pause(Socket.get_executor(), milliseconds(100));
          Pause.async_wait(Yield);
          dropArrivals(Socket);
        });
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Time.count()),
                           Time >= milliseconds(1500) &&
                               Time <= MaxDetectionTime);
  }

  void testSlowServerIsNotSilent() {
    core::Duration Time =
        timeToFailure([](tcp::socket &Socket, asio::yield_context Yield) {
          char Request[256];
          Socket.async_read_some(asio::buffer(Request), Yield);
          asio::steady_timer Pause(Socket.get_executor(), milliseconds(4500));
          Pause.async_wait(Yield);
          asio::async_write(
              Socket,
              asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 38),
              Yield);
        });
    CPPUNIT_ASSERT(Time == core::Duration::zero());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentConnectionTest);
