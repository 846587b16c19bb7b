#include "LibHTTP/ServerConnection.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibHTTP/SilenceDetection.h"
#include "LibHTTP/SocketState.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace yardrill::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

static const std::size_t ReadAheadBytes = 4096;
/// Bound of what is held besides a head: part of a body, or bytes that belong
/// to none, such as extensions of a chunk.
static const std::size_t MaxUnparsedBytes = 65536;
/// Typical size of the head of a response.
static const std::size_t HeadBytes = 256;
/// Time for which a connection is read after its last response, which a reset
/// could otherwise discard (RFC 9112, section 9.6).
static const std::chrono::seconds LingerTime(1);
/// Period in which the end of a connection is looked for behind unread bytes.
static const std::chrono::milliseconds DisconnectPollPeriod(50);
static const unsigned InternalError = 500;

static void copyHead(const ResponseHead &Head,
                     beast::http::header<false, beast::http::fields> &Out) {
  Out.result(Head.m_Status);
  for (const Header &H : Head.m_Headers)
    Out.insert(H.m_Name, H.m_Value);
}

static bool hasNoBody(unsigned Status, const std::string &Method) {
  return Method == "HEAD" || Status == 204 || Status == 304;
}

void ServerConnection::run(asio::yield_context Yield) {
  m_Stream.socket().set_option(tcp::no_delay(true));
  // waitForDisconnect() peeks: a blocking receive would stall the event loop.
  m_Stream.socket().non_blocking(true);
  if (m_Limits.m_SilenceTimeout) {
    enableKeepAliveProbes(m_Stream.socket());
    setSilenceTimeout(m_Stream.socket(), *m_Limits.m_SilenceTimeout);
  }
  while (serveRequest(Yield)) {
    // The connection is kept.
  }
  m_Stream.close();
}

bool ServerConnection::serveRequest(asio::yield_context Yield) {
  m_IsIdle = m_Buffer.size() == 0;
  m_IsResponseComplete = m_IsStreamStarted = m_IsChunked = false;
  m_HasSentBytes = false;
  unsigned Status = readRequest(Yield);
  if (Status == NoResponse)
    return false;
  if (Status != 0) {
    sendErrorResponse(Status, Yield);
    linger(Yield);
    return false;
  }
  watchForDisconnect();
  m_CountedBytes = 0;
  handleRequest(Yield);
  m_DisconnectCallback.reset();
  // An idle connection holds no body.
  m_Request = RequestMessage();
  m_HeldBody.release();
  // The caller may use a connection that the response has not ended.
  if (!m_IsAborted && m_IsResponseComplete && m_IsKept)
    return true;
  linger(Yield);
  return false;
}

void ServerConnection::handleRequest(asio::yield_context Yield) {
  try {
    return m_Handle(*this, Yield);
  } catch (const std::exception &Failure) {
    core::LogLine("connection-failure", core::LogLevel::Warning)
        .add("reason", Failure.what());
  }
  // An end without a response would look as if the request had not been read.
  if (!m_IsAborted && !m_HasSentBytes)
    sendErrorResponse(InternalError, Yield);
  m_IsAborted = true;
}

void ServerConnection::closeWhenIdle() {
  m_IsClosingWhenIdle = true;
  if (m_IsIdle)
    m_Stream.cancel();
}

void ServerConnection::startReadTimer(core::Duration Timeout) {
  m_HasTimedOut = false;
  m_ReadTimer.expires_after(Timeout);
  std::weak_ptr<ServerConnection> Weak = weak_from_this();
  m_ReadTimer.async_wait([Weak](error_code Failure) {
    auto Self = Weak.lock();
    // An expiry that was already queued when the timer was stopped or restarted
    // counts for nothing.
    if (Failure || !Self || core::steadyNow() < Self->m_ReadTimer.expiry())
      return;
    Self->m_HasTimedOut = true;
    Self->m_Stream.cancel();
  });
}

void ServerConnection::stopReadTimer() {
  m_ReadTimer.expires_at(core::Timer::time_point::max());
}

bool ServerConnection::hasUnreadBytes() {
  error_code Ignored;
  return m_Stream.socket().available(Ignored) > 0;
}

bool ServerConnection::awaitRequest(asio::yield_context Yield) {
  error_code Failure;
  if (m_Buffer.size() == 0)
    startReadTimer(m_Limits.m_IdleTimeout);
  while (m_Buffer.size() == 0) {
    // A cancelled wait ends the connection, unless a request has come
    // meanwhile.
    bool MustClose = m_IsClosingWhenIdle || m_HasTimedOut;
    if (MustClose && !hasUnreadBytes())
      break;
    std::size_t Size = m_Stream.async_read_some(
        m_Buffer.prepare(ReadAheadBytes), Yield[Failure]);
    m_Buffer.commit(Size);
    if (Failure && Failure != asio::error::operation_aborted)
      break;
  }
  stopReadTimer();
  m_IsIdle = m_Buffer.size() == 0;
  return !m_IsIdle;
}

unsigned ServerConnection::readRequest(asio::yield_context Yield) {
  if (!awaitRequest(Yield))
    return NoResponse;
  error_code Failure;
  m_Reading.begin(core::steadyNow());
  m_Buffer.max_size(
      std::max(m_Buffer.size(), m_Limits.m_HeaderBytes + MaxUnparsedBytes));
  RequestParser Parser;
  Parser.header_limit(static_cast<std::uint32_t>(m_Limits.m_HeaderBytes));
  Parser.body_limit(m_Limits.m_BodyBytes);
  startReadTimer(m_Limits.m_ReadTimeout);
  beast::http::async_read_header(m_Stream, m_Buffer, Parser, Yield[Failure]);
  bool IsHeaderRead = !Failure;
  if (IsHeaderRead)
    m_Intake.link().recordRequestHead(core::steadyNow());
  if (IsHeaderRead && Parser.get().version() != 11) {
    stopReadTimer();
    return 505;
  }
  // With an unknown transfer coding the end of the body is unknown (RFC 9112,
  // section 6.1).
  if (IsHeaderRead && !Parser.chunked() &&
      Parser.get().count(beast::http::field::transfer_encoding) != 0) {
    stopReadTimer();
    return 501;
  }
  if (IsHeaderRead && beast::iequals(Parser.get()[beast::http::field::expect],
                                     "100-continue")) {
    beast::http::response<beast::http::empty_body> Continue(
        beast::http::status::continue_, 11);
    beast::http::async_write(m_Stream, Continue, Yield[Failure]);
  }
  bool IsWithinBudget = Failure || readBody(Parser, Failure, Yield);
  stopReadTimer();
  if (!Failure && IsWithinBudget)
    m_Reading.complete(core::steadyNow());
  m_Reading.abandon();
  if (!IsWithinBudget)
    return 503;
  if (Failure)
    return m_HasTimedOut ? 408 : statusForReadError(Failure, IsHeaderRead);
  m_UnreadTime = timeSinceLastBytes(m_Stream.socket());
  m_KeepAlive = Parser.get().keep_alive();
  m_Request.m_Method = std::string(Parser.get().method_string());
  m_Request.m_Target = std::string(Parser.get().target());
  m_Request.m_Headers = HeaderList();
  for (const auto &Field : Parser.get())
    m_Request.m_Headers.add(std::string(Field.name_string()),
                            std::string(Field.value()));
  m_Request.m_Body = std::move(Parser.get().body());
  return 0;
}

bool ServerConnection::readBody(RequestParser &Parser, error_code &Failure,
                                asio::yield_context Yield) {
  m_CountedBytes = 0;
  // A body whose length is known is refused before it is read.
  auto Length = Parser.content_length();
  if (Length && *Length <= m_Limits.m_BodyBytes &&
      !m_HeldBody.tryExtend(static_cast<std::size_t>(*Length)))
    return false;
  while (!Failure && !Parser.is_done()) {
    // The timer can expire while a completed read is delivered.
    if (m_HasTimedOut) {
      Failure = asio::error::timed_out;
      break;
    }
    std::size_t Size = beast::http::async_read_some(m_Stream, m_Buffer, Parser,
                                                    Yield[Failure]);
    if (std::size_t Counted = countBytes(Size))
      m_Intake.link().recordRequestBody(Counted, core::steadyNow());
    if (!m_HeldBody.tryExtend(Parser.get().body().size()))
      return false;
  }
  return true;
}

unsigned ServerConnection::statusForReadError(error_code Failure,
                                              bool IsHeaderRead) const {
  if (Failure == beast::http::error::header_limit)
    return 431;
  if (Failure == beast::http::error::body_limit)
    return 413;
  if (Failure == beast::http::error::end_of_stream ||
      Failure == beast::http::error::partial_message)
    return IsHeaderRead || m_Buffer.size() != 0 ? 400 : NoResponse;
  // Errors of the parser mean a malformed request, others a failed socket.
  bool IsParserError =
      Failure.category() ==
      make_error_code(beast::http::error::bad_method).category();
  return IsParserError ? 400 : NoResponse;
}

void ServerConnection::sendErrorResponse(unsigned Status,
                                         asio::yield_context Yield) {
  m_Request = RequestMessage();
  m_HeldBody.release();
  m_KeepAlive = false;
  try {
    sendResponse(Status == InternalError ? emptyResponse(Status)
                                         : m_MakeErrorResponse(Status),
                 Yield);
  } catch (const core::Error &) {
    // The caller has disconnected.
  }
}

void ServerConnection::linger(asio::yield_context Yield) {
  error_code Failure;
  m_Stream.socket().shutdown(tcp::socket::shutdown_send, Failure);
  m_Stream.expires_after(LingerTime);
  std::size_t BytesLeft = m_Limits.m_BodyBytes;
  while (!Failure && BytesLeft > 0) {
    m_Buffer.clear();
    std::size_t Size = m_Stream.async_read_some(
        m_Buffer.prepare(ReadAheadBytes), Yield[Failure]);
    BytesLeft -= std::min(BytesLeft, Size);
  }
}

void ServerConnection::setDisconnectCallback(std::function<void()> Callback) {
  if (m_DisconnectCallback)
    *m_DisconnectCallback = std::move(Callback);
}

bool ServerConnection::isCallerConnected() {
  return isPeerConnected(m_Stream.socket());
}

void ServerConnection::watchForDisconnect() {
  m_DisconnectCallback = std::make_shared<std::function<void()>>();
  waitForDisconnect(m_DisconnectCallback);
}

void ServerConnection::waitForDisconnect(
    const std::weak_ptr<std::function<void()>> &Weak) {
  m_Stream.socket().async_wait(
      tcp::socket::wait_read, [this, Weak](error_code Failure) {
        auto Callback = Weak.lock();
        // Without a callback the response is complete; `this` may be deleted.
        if (!Callback || Failure == asio::error::operation_aborted)
          return;
        char Byte = 0;
        error_code PeekFailure;
        m_Stream.socket().receive(asio::buffer(&Byte, 1),
                                  tcp::socket::message_peek, PeekFailure);
        // The event may be stale: its bytes have been read since.
        if (PeekFailure == asio::error::would_block)
          return waitForDisconnect(Weak);
        // The bytes stay readable and would end each further wait at once.
        if (!PeekFailure)
          return pollForDisconnect(Weak);
        if (*Callback)
          (*Callback)();
      });
}

void ServerConnection::pollForDisconnect(
    const std::weak_ptr<std::function<void()>> &Weak) {
  m_WatchTimer.expires_after(DisconnectPollPeriod);
  m_WatchTimer.async_wait([this, Weak](error_code Failure) {
    auto Callback = Weak.lock();
    // Without a callback the response is complete; `this` may be deleted.
    if (!Callback || Failure)
      return;
    if (isCallerConnected())
      return pollForDisconnect(Weak);
    if (*Callback)
      (*Callback)();
  });
}

std::size_t ServerConnection::countBytes(std::size_t Bytes) {
  std::size_t Counted =
      std::min(Bytes, LinkBudget::MaxCountedBytes - m_CountedBytes);
  m_CountedBytes += Counted;
  return Counted;
}

void ServerConnection::recordResponse(std::size_t Bytes) {
  if (std::size_t Counted = countBytes(Bytes))
    m_Intake.link().recordResponse(Counted, core::steadyNow());
}

void ServerConnection::finishWrite(error_code Failure, std::size_t Bytes) {
  m_Stream.expires_never();
  m_HasSentBytes = m_HasSentBytes || Bytes > 0;
  if (!Failure)
    return;
  m_IsAborted = true;
  throw core::Error(core::ErrorKind::OutcomeUnknown,
                    "write to the caller failed: " + Failure.message());
}

void ServerConnection::sendResponse(ResponseMessage Response,
                                    asio::yield_context Yield) {
  beast::http::response<beast::http::string_body> Out;
  copyHead(Response.m_Head, Out);
  Out.version(11);
  setKeepAlive(Out);
  error_code Failure;
  m_Stream.expires_after(m_Limits.m_WriteTimeout);
  recordResponse(Response.m_Body.size() + HeadBytes);
  bool NoBody = hasNoBody(Response.m_Head.m_Status, m_Request.m_Method);
  if (!NoBody || m_Request.m_Method == "HEAD")
    Out.content_length(Response.m_Body.size());
  if (!NoBody)
    Out.body() = std::move(Response.m_Body);
  beast::http::response_serializer<beast::http::string_body> Serializer(Out);
  std::size_t Written =
      NoBody ? beast::http::async_write_header(m_Stream, Serializer,
                                               Yield[Failure])
             : beast::http::async_write(m_Stream, Serializer, Yield[Failure]);
  finishWrite(Failure, Written);
  m_IsResponseComplete = true;
}

void ServerConnection::startStream(const ResponseHead &Head,
                                   asio::yield_context Yield) {
  beast::http::response<beast::http::empty_body> Out;
  copyHead(Head, Out);
  Out.version(11);
  setKeepAlive(Out);
  m_HasNoBody = hasNoBody(Head.m_Status, m_Request.m_Method);
  m_IsChunked = !Head.m_ContentLength && !m_HasNoBody;
  if (Head.m_ContentLength)
    Out.content_length(*Head.m_ContentLength);
  else if (m_IsChunked)
    Out.chunked(true);
  beast::http::response_serializer<beast::http::empty_body> Serializer(Out);
  error_code Failure;
  m_Stream.expires_after(m_Limits.m_WriteTimeout);
  m_IsStreamStarted = true;
  recordResponse(HeadBytes);
  std::size_t Written =
      beast::http::async_write_header(m_Stream, Serializer, Yield[Failure]);
  finishWrite(Failure, Written);
}

void ServerConnection::sendBodyData(std::string_view Data,
                                    asio::yield_context Yield) {
  // An empty chunk would end the body.
  if (Data.empty() || m_HasNoBody)
    return;
  error_code Failure;
  m_Stream.expires_after(m_Limits.m_WriteTimeout);
  recordResponse(Data.size());
  asio::const_buffer Bytes(Data.data(), Data.size());
  std::size_t Written =
      m_IsChunked ? asio::async_write(m_Stream, beast::http::make_chunk(Bytes),
                                      Yield[Failure])
                  : asio::async_write(m_Stream, Bytes, Yield[Failure]);
  finishWrite(Failure, Written);
}

void ServerConnection::finishStream(asio::yield_context Yield) {
  error_code Failure;
  m_Stream.expires_after(m_Limits.m_WriteTimeout);
  std::size_t Written = 0;
  if (m_IsChunked)
    Written = asio::async_write(m_Stream, beast::http::make_chunk_last(),
                                Yield[Failure]);
  finishWrite(Failure, Written);
  m_IsResponseComplete = true;
}

void ServerConnection::abort() { m_IsAborted = true; }

} // namespace yardrill::http
