//===-- EarlyResponseTest.cpp - Responses before the end of a request -----===//
//
// Guards against a part of a body that looks complete because the server ended
// the connection before it had received the request, and against statuses that
// are none.
//
//===----------------------------------------------------------------------===//
#include "LibCore/Error.h"
#include "LibHTTP/ClientConnection.h"

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace yardrill;
using namespace yardrill::http;
using std::chrono::seconds;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class EarlyResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EarlyResponseTest);
  CPPUNIT_TEST(testBodyThatEndsBeforeTheRequestIsReceived);
  CPPUNIT_TEST(testBodyThatEndsBeforeAReset);
  CPPUNIT_TEST(testBodyThatEndsAfterTheRequest);
  CPPUNIT_TEST(testStatusesThatAreNone);
  CPPUNIT_TEST_SUITE_END();

  /// Larger than what a server with SmallReceiveBuffer takes unread.
  static constexpr std::size_t LargeBytes = 200000;
  static constexpr int SmallReceiveBuffer = 4096;
  static constexpr int LargeReceiveBuffer = 1048576;

  /// Sends a request with a body of LargeBytes to a server that reads
  /// \p ReadBytes of the body, responds with \p Response, ends its sending, and
  /// closes the connection a little later. \returns the received body; none if
  /// the response failed.
  static std::optional<std::string>
  exchange(const std::string &Response, std::size_t ReadBytes,
           int ReceiveBuffer = SmallReceiveBuffer) {
    asio::io_context Context;
    tcp::acceptor Acceptor(Context, tcp::v4());
    Acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBuffer));
    Acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    Acceptor.listen();
    tcp::socket Server(Context);
    asio::spawn(
        Context,
        [&](asio::yield_context Yield) {
          error_code Failure;
          Acceptor.async_accept(Server, Yield);
          std::string Received;
          std::size_t Read =
              ReadBytes + asio::async_read_until(Server,
                                                 asio::dynamic_buffer(Received),
                                                 "\r\n\r\n", Yield[Failure]);
          if (Received.size() < Read)
            asio::async_read(Server, asio::dynamic_buffer(Received),
                             asio::transfer_exactly(Read - Received.size()),
                             Yield[Failure]);
          asio::async_write(Server, asio::buffer(Response), Yield[Failure]);
          Server.shutdown(tcp::socket::shutdown_send, Failure);
          asio::steady_timer Pause(Context, std::chrono::milliseconds(50));
          Pause.async_wait(Yield[Failure]);
          Server.close();
        },
        asio::detached);
    std::optional<std::string> Out;
    asio::spawn(
        Context,
        [&](asio::yield_context Yield) {
          auto Client = ClientConnection::connect(
              Context, Acceptor.local_endpoint(), seconds(2), Yield);
          Client->allowCloseDelimitedBody();
          RequestMessage Request;
          Request.m_Method = "POST";
          Request.m_Target = "/a";
          Request.m_Body = std::string(LargeBytes, 'u');
          try {
            Client->sendRequest(Request, seconds(2), Yield);
            Out = Client->readResponse(seconds(2), 1000, Yield).m_Body;
          } catch (const core::Error &Failure) {
            Out.reset();
            CPPUNIT_ASSERT(Failure.kind() == core::ErrorKind::OutcomeUnknown);
          }
        },
        asio::detached);
    Context.run();
    return Out;
  }

public:
  void testBodyThatEndsBeforeTheRequestIsReceived() {
    CPPUNIT_ASSERT(!exchange("HTTP/1.1 200 OK\r\n\r\npart", 1000));
  }

  void testBodyThatEndsBeforeAReset() {
    // The server's kernel has received the request.
    CPPUNIT_ASSERT(
        !exchange("HTTP/1.1 200 OK\r\n\r\npart", 1000, LargeReceiveBuffer));
  }

  void testBodyThatEndsAfterTheRequest() {
    auto Body = exchange("HTTP/1.1 200 OK\r\n\r\nwhole", LargeBytes);
    CPPUNIT_ASSERT(Body);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), *Body);
  }

  void testStatusesThatAreNone() {
    for (const char *Status : {"000", "099", "600", "999"})
      CPPUNIT_ASSERT_MESSAGE(Status,
                             !exchange("HTTP/1.1 " + std::string(Status) +
                                           " Odd\r\nContent-Length: 1\r\n\r\nx",
                                       LargeBytes));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyResponseTest);
