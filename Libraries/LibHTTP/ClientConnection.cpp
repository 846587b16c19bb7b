#include "LibHTTP/ClientConnection.h"

#include "LibCore/Error.h"
#include "LibHTTP/SilenceDetection.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cassert>
#include <linux/sockios.h>
#include <optional>
#include <poll.h>
#include <sys/ioctl.h>
#include <vector>

namespace yardrill::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;
using core::Error;
using core::ErrorKind;

static const std::size_t ReadBufferBytes = 16384;
static const std::uint32_t MaxHeaderBytes = 65536;
/// Interim responses before the final one.
static const int MaxInterimResponses = 16;
/// RFC 9110, section 15: other values are invalid.
static const unsigned MaxStatus = 599;
/// Time for which a server that has ended its sending may still reset the
/// connection because it has not read the request, and how often that is
/// checked.
static const std::chrono::milliseconds ResetDelay{150};
static const std::chrono::milliseconds ResetCheckPeriod{10};
/// Requests up to this size are usually read before they are answered.
static const std::size_t MaxSmallRequestBytes = 65536;

class ClientConnection::Implementation {
public:
  explicit Implementation(asio::io_context &Context) : m_Stream(Context) {}

  using Parser = beast::http::response_parser<beast::http::buffer_body>;

  /// FIXME: Beast's timeouts do not advance while the machine is suspended, so
  /// a call without a response lasts longer by that time.
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer{MaxUnparsedBytes};
  std::optional<Parser> m_Parser;
  std::vector<ExpectedResponse> m_Expected;
  std::size_t m_RequestsSent = 0;
  std::size_t m_RequestBytes = 0; ///< Of the last request's body.
  bool m_IsHeadRequest = false;
  bool m_IsResponseComplete = false;
  bool m_AllowsCloseDelimitedBody = false;

  /// Returns whether the end of the connection is a failure of the server.
  bool isCut(asio::yield_context Yield);
};

static void throwIfFailed(error_code Failure, ErrorKind Kind,
                          const char *Operation) {
  if (Failure)
    throw Error(Kind, std::string(Operation) + ": " + Failure.message());
}

/// The stream's timer never gets a turn while bytes are always there to read.
static void throwIfTimeIsOver(core::Duration Timeout, const char *Operation) {
  if (Timeout <= core::Duration::zero())
    throw Error(ErrorKind::OutcomeUnknown,
                std::string(Operation) + ": the time is over");
}

void ClientConnection::setSilenceTimeout(core::Duration Timeout) {
  http::setSilenceTimeout(m_Impl->m_Stream.socket(), Timeout);
}

/// Returns whether the other side has not received all that was sent to it.
static bool hasUnacknowledgedData(tcp::socket &Socket) {
  int Bytes = 0;
  return ::ioctl(Socket.native_handle(), SIOCOUTQ, &Bytes) == 0 && Bytes > 0;
}

static bool isReset(tcp::socket &Socket) {
  pollfd Polled{Socket.native_handle(), 0, 0};
  return ::poll(&Polled, 1, 0) > 0 && (Polled.revents & POLLERR) != 0;
}

bool ClientConnection::Implementation::isCut(asio::yield_context Yield) {
  if (hasUnacknowledgedData(m_Stream.socket()))
    return true;
  if (m_RequestBytes <= MaxSmallRequestBytes)
    return false;
  asio::steady_timer Pause(m_Stream.get_executor());
  core::TimePoint End = core::steadyNow() + ResetDelay;
  while (!isReset(m_Stream.socket())) {
    if (core::steadyNow() >= End)
      return false;
    Pause.expires_after(ResetCheckPeriod);
    error_code Ignored;
    Pause.async_wait(Yield[Ignored]);
  }
  return true;
}

ClientConnection::ClientConnection(std::unique_ptr<Implementation> Impl)
    : m_Impl(std::move(Impl)) {}

ClientConnection::~ClientConnection() = default;

std::unique_ptr<ClientConnection>
ClientConnection::connect(asio::io_context &Context,
                          const tcp::endpoint &Address, core::Duration Timeout,
                          asio::yield_context Yield) {
  auto Impl = std::make_unique<Implementation>(Context);
  error_code Failure;
  Impl->m_Stream.expires_after(Timeout);
  Impl->m_Stream.async_connect(Address, Yield[Failure]);
  throwIfFailed(Failure,
                Failure == asio::error::connection_refused
                    ? ErrorKind::Refused
                    : ErrorKind::Unavailable,
                "connect");
  Impl->m_Stream.socket().set_option(tcp::no_delay(true));
  enableKeepAliveProbes(Impl->m_Stream.socket());
  return std::unique_ptr<ClientConnection>(
      new ClientConnection(std::move(Impl)));
}

void ClientConnection::expect(const ExpectedResponse &Response) {
  assert(!mayCarry(Response.m_Key));
  core::TimePoint Now = core::steadyNow();
  auto &Expected = m_Impl->m_Expected;
  Expected.erase(std::remove_if(Expected.begin(), Expected.end(),
                                [Now](const ExpectedResponse &Each) {
                                  return Each.m_Until <= Now;
                                }),
                 Expected.end());
  Expected.push_back(Response);
}

bool ClientConnection::mayCarry(ResponseKey Key) const {
  return std::any_of(
      m_Impl->m_Expected.begin(), m_Impl->m_Expected.end(),
      [Key](const ExpectedResponse &Each) { return Each.m_Key == Key; });
}

void ClientConnection::sendRequest(const RequestMessage &Request,
                                   core::Duration Timeout,
                                   asio::yield_context Yield) {
  beast::http::request<beast::http::span_body<const char>> Out;
  Out.version(11);
  Out.method_string(Request.m_Method);
  Out.target(Request.m_Target);
  for (const Header &H : Request.m_Headers)
    Out.insert(H.m_Name, H.m_Value);
  Out.body() =
      beast::span<const char>(Request.m_Body.data(), Request.m_Body.size());
  if (!Request.m_Body.empty() || Request.m_Method == "POST" ||
      Request.m_Method == "PUT" || Request.m_Method == "PATCH")
    Out.content_length(Request.m_Body.size());
  ++m_Impl->m_RequestsSent;
  m_Impl->m_RequestBytes = Request.m_Body.size();
  m_Impl->m_IsHeadRequest = Request.m_Method == "HEAD";
  m_Impl->m_IsResponseComplete = false;
  error_code Failure;
  m_Impl->m_Stream.expires_after(Timeout);
  beast::http::async_write(m_Impl->m_Stream, Out, Yield[Failure]);
  throwIfFailed(Failure, ErrorKind::OutcomeUnknown, "send request");
}

void ClientConnection::allowCloseDelimitedBody() {
  m_Impl->m_AllowsCloseDelimitedBody = true;
}

ResponseHead ClientConnection::readHead(core::Duration Timeout,
                                        asio::yield_context Yield) {
  auto &Parser = m_Impl->m_Parser;
  throwIfTimeIsOver(Timeout, "read head");
  error_code Failure;
  int Interim = 0;
  m_Impl->m_Stream.expires_after(Timeout);
  while (true) {
    Parser.emplace();
    Parser->header_limit(MaxHeaderBytes);
    Parser->body_limit(boost::none);
    Parser->skip(m_Impl->m_IsHeadRequest);
    beast::http::async_read_header(m_Impl->m_Stream, m_Impl->m_Buffer, *Parser,
                                   Yield[Failure]);
    throwIfFailed(Failure, ErrorKind::OutcomeUnknown, "read head");
    // Interim responses (RFC 9110, section 15.2) precede the final one.
    if (Parser->get().result_int() >= 200)
      break;
    if (++Interim > MaxInterimResponses)
      throw Error(ErrorKind::OutcomeUnknown,
                  "read head: more than " +
                      std::to_string(MaxInterimResponses) +
                      " interim responses");
  }
  if (Parser->get().result_int() > MaxStatus)
    throw Error(ErrorKind::OutcomeUnknown,
                "read head: status " +
                    std::to_string(Parser->get().result_int()) + " is none");
  if (!m_Impl->m_AllowsCloseDelimitedBody && !Parser->is_done() &&
      Parser->need_eof() && !Parser->chunked() && !Parser->content_length())
    throw Error(ErrorKind::OutcomeUnknown,
                "the response has neither a length nor chunked coding");
  ResponseHead Head;
  Head.m_Status = Parser->get().result_int();
  for (const auto &Field : Parser->get())
    Head.m_Headers.add(std::string(Field.name_string()),
                       std::string(Field.value()));
  if (Parser->content_length())
    Head.m_ContentLength = *Parser->content_length();
  return Head;
}

std::string ClientConnection::readBodyData(core::Duration Timeout,
                                           asio::yield_context Yield) {
  auto &Parser = *m_Impl->m_Parser;
  std::string Data;
  if (!Parser.is_done())
    throwIfTimeIsOver(Timeout, "read body");
  m_Impl->m_Stream.expires_after(Timeout);
  while (!Parser.is_done() && Data.empty()) {
    Data.resize(ReadBufferBytes);
    auto &Body = Parser.get().body();
    Body.data = Data.data();
    Body.size = Data.size();
    error_code Failure;
    beast::http::async_read_some(m_Impl->m_Stream, m_Impl->m_Buffer, Parser,
                                 Yield[Failure]);
    if (Failure == beast::http::error::need_buffer)
      Failure = {};
    throwIfFailed(Failure, ErrorKind::OutcomeUnknown, "read body");
    Data.resize(ReadBufferBytes - Body.size);
  }
  // A server that ends its connection without having read the request resets
  // it next, so the end of the connection is not the end of the body.
  if (Parser.is_done() && Parser.need_eof() && m_Impl->isCut(Yield))
    throw Error(ErrorKind::OutcomeUnknown,
                "read body: the connection ended before the request was read");
  m_Impl->m_IsResponseComplete = Parser.is_done();
  return Data;
}

bool ClientConnection::discardBody(core::Duration Timeout, std::size_t MaxBytes,
                                   asio::yield_context Yield) {
  core::TimePoint End = core::steadyNow() + Timeout;
  std::size_t Discarded = 0;
  try {
    while (Discarded <= MaxBytes) {
      std::string Data = readBodyData(End - core::steadyNow(), Yield);
      if (Data.empty())
        return true;
      Discarded += Data.size();
    }
  } catch (const Error &) {
    // The body broke, or did not end in time.
  }
  return false;
}

ResponseMessage ClientConnection::readResponse(core::Duration Timeout,
                                               std::size_t MaxBytes,
                                               asio::yield_context Yield) {
  ResponseMessage Out;
  Out.m_Head = readHead(Timeout, Yield);
  core::TimePoint End = core::steadyNow() + MaxBodyTime;
  while (true) {
    std::string Data =
        readBodyData(std::min(Timeout, End - core::steadyNow()), Yield);
    if (Data.empty())
      return Out;
    if (Out.m_Body.size() + Data.size() > MaxBytes)
      throw Error(ErrorKind::LimitExceeded, "response body is too large");
    Out.m_Body += Data;
  }
}

std::size_t ClientConnection::requestsSent() const {
  return m_Impl->m_RequestsSent;
}

bool ClientConnection::isResponseComplete() const {
  return m_Impl->m_IsResponseComplete;
}

bool ClientConnection::isReusable() {
  if (!m_Impl->m_IsResponseComplete || !m_Impl->m_Parser->keep_alive() ||
      m_Impl->m_Buffer.size() != 0)
    return false;
  char Byte = 0;
  error_code Failure;
  auto &Socket = m_Impl->m_Stream.socket();
  Socket.non_blocking(true, Failure);
  Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Failure);
  return Failure == asio::error::would_block;
}

void ClientConnection::close() { m_Impl->m_Stream.close(); }

} // namespace yardrill::http
