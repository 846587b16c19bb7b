//===-- EndlessMessageTest.cpp - Messages without end ---------------------===//
//
// Guards against a store, a peer or a caller whose bytes hold a call, or fill
// the memory, until it stops of its own accord.
//
//===----------------------------------------------------------------------===//
#include "EndlessTarget.h"

#include "LibCore/Error.h"
#include "LibHTTP/ClientConnection.h"
#include "LibHTTP/Server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace yardrill;
using namespace yardrill::http;
using std::chrono::milliseconds;
using tests::EndlessTarget;
namespace asio = boost::asio;
using asio::ip::tcp;

class EndlessMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessMessageTest);
  CPPUNIT_TEST(testInterimResponses);
  CPPUNIT_TEST(testSlowInterimResponses);
  CPPUNIT_TEST(testBody);
  CPPUNIT_TEST(testSlowBody);
  CPPUNIT_TEST(testChunkExtension);
  CPPUNIT_TEST(testTrailers);
  CPPUNIT_TEST(testChunkExtensionOfARequest);
  CPPUNIT_TEST(testTrailersOfARequest);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds Timeout{200};
  static constexpr milliseconds MaxTime{9000};
  static constexpr std::size_t MaxBodyBytes = 1000000;
  /// What may be sent, the buffers of the connection included.
  static constexpr std::size_t MaxSentBytes = 12UL * 1024 * 1024;

  asio::io_context m_Context{1};

  /// Makes a call whose response never ends, as store clients and peers do.
  void checkCallFails(const EndlessTarget::Bytes &Response, int PauseMs = 1) {
    EndlessTarget Server(m_Context,
                         [&](const tests::Request &) { return Response; });
    Server.m_PauseMs = PauseMs;
    bool HasFailed = false;
    auto Begin = std::chrono::steady_clock::now();
    std::chrono::steady_clock::duration Took{};
    asio::spawn(
        m_Context,
        [&](asio::yield_context Yield) {
          auto Connection = ClientConnection::connect(
              m_Context,
              {asio::ip::make_address("127.0.0.1"),
               static_cast<std::uint16_t>(Server.port())},
              Timeout, Yield);
          RequestMessage Call;
          Call.m_Method = "GET";
          Call.m_Target = "/";
          Call.m_Headers.set("Host", "h");
          Connection->sendRequest(Call, Timeout, Yield);
          try {
            Connection->readResponse(Timeout, MaxBodyBytes, Yield);
          } catch (const core::Error &) {
            HasFailed = true;
          }
          Took = std::chrono::steady_clock::now() - Begin;
          m_Context.stop();
        },
        asio::detached);
    m_Context.run_for(2 * MaxTime);
    m_Context.restart();
    CPPUNIT_ASSERT(HasFailed);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Took.count()) + " ns",
                           Took < MaxTime);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Server.m_SentBytes) + " bytes sent",
                           Server.m_SentBytes < MaxSentBytes);
  }
  /// Sends a request that never ends. \returns the response to it.
  std::string responseToEndless(const std::string &Body) {
    auto Tested = Server::create(
        m_Context, {asio::ip::make_address("127.0.0.1"), 0}, ServerLimits(),
        [](Exchange &Call, asio::yield_context Yield) {
          Call.sendResponse(emptyResponse(200), Yield);
        },
        emptyResponse);
    std::string Out;
    std::size_t Sent = 0;
    std::thread Caller([&, Port = Tested->port()] {
      asio::io_context Context;
      tcp::socket Socket(Context);
      Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
      boost::system::error_code Failure;
      asio::write(
          Socket,
          asio::buffer(std::string("POST / HTTP/1.1\r\nHost: h\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n")),
          Failure);
      while (!Failure && Sent < 2 * MaxSentBytes && Socket.available() == 0) {
        Sent += asio::write(Socket, asio::buffer(Body), Failure);
        std::this_thread::sleep_for(milliseconds(1));
      }
      Socket.shutdown(tcp::socket::shutdown_send, Failure);
      Failure.clear();
      asio::read(Socket, asio::dynamic_buffer(Out), Failure);
      m_Context.stop();
    });
    m_Context.run_for(std::chrono::seconds(12));
    m_Context.restart();
    Caller.join();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Sent) + " bytes sent",
                           Sent < MaxSentBytes);
    return Out.substr(0, std::string("HTTP/1.1 400").size());
  }
  static std::string chunkedHead() {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

public:
  void testInterimResponses() {
    checkCallFails({"", "HTTP/1.1 100 Continue\r\n\r\n"});
  }
  void testSlowInterimResponses() {
    checkCallFails({"", "HTTP/1.1 100 Continue\r\n\r\n"}, 50);
  }
  void testBody() {
    checkCallFails({chunkedHead(), tests::chunk(std::string(32768, 'x'))});
  }
  void testSlowBody() {
    checkCallFails({chunkedHead(), tests::chunk("x")}, 50);
  }
  void testChunkExtension() {
    checkCallFails({chunkedHead() + "5;", std::string(32768, 'e')});
  }
  void testTrailers() {
    checkCallFails({chunkedHead() + "0\r\n", "X-T: t\r\n"});
  }
  void testChunkExtensionOfARequest() {
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400"),
                         responseToEndless("5;" + std::string(32768, 'e')));
  }
  void testTrailersOfARequest() {
    std::string Trailers = "0\r\n";
    while (Trailers.size() < 32768)
      Trailers += "X-T: t\r\n";
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400"),
                         responseToEndless(Trailers));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessMessageTest);
