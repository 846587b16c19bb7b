//===-- ClientConnection.h - HTTP/1.1 client connection -------------------===//
#ifndef YARDRILL_LIBHTTP_CLIENTCONNECTION_H
#define YARDRILL_LIBHTTP_CLIENTCONNECTION_H

#include "LibCore/Time.h"
#include "LibHTTP/ExpectedResponse.h"
#include "LibHTTP/Message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>

namespace yardrill::http {

/// HTTP/1.1 connection to a server, used by one coroutine at a time. Errors
/// before the first byte is sent have kind Refused or Unavailable, later ones
/// OutcomeUnknown: the server may have processed the request. A timeout applies
/// to one call, however many bytes arrive in it. What a server sends without
/// end and that is no body fails the call once it exceeds MaxUnparsedBytes.
class ClientConnection {
public:
  /// \throws core::Error of kind Refused or Unavailable.
  static std::unique_ptr<ClientConnection>
  connect(boost::asio::io_context &Context,
          const boost::asio::ip::tcp::endpoint &Address, core::Duration Timeout,
          boost::asio::yield_context Yield);
  ~ClientConnection();

  /// Makes the connection fail after \p Timeout, rounded up to seconds while it
  /// waits for a response, if the other side acknowledges nothing, not even
  /// probes.
  void setSilenceTimeout(core::Duration Timeout);
  /// Records a request before it is sent.
  /// \pre !mayCarry(Response.m_Key).
  void expect(const ExpectedResponse &Response);
  /// Returns whether a response with that key may arrive, be it a second one.
  bool mayCarry(ResponseKey Key) const;
  /// \throws core::Error of kind OutcomeUnknown.
  void sendRequest(const RequestMessage &Request, core::Duration Timeout,
                   boost::asio::yield_context Yield);
  /// Accepts responses with neither a length nor chunked coding, whose body
  /// ends when the server closes the connection (RFC 9112, section 6.3). By
  /// default they are an error, since a crash of the server looks like their
  /// end. A body is truncated if the server had not received the whole request
  /// by then, or resets the connection soon after a large one.
  void allowCloseDelimitedBody();
  /// Reads the status and headers of the next response, skipping a few interim
  /// (1xx) ones.
  /// \throws core::Error of kind OutcomeUnknown.
  ResponseHead readHead(core::Duration Timeout,
                        boost::asio::yield_context Yield);
  /// Returns the next bytes of the body; empty at its end.
  /// \throws core::Error of kind OutcomeUnknown when the body is truncated.
  std::string readBodyData(core::Duration Timeout,
                           boost::asio::yield_context Yield);
  /// Discards the rest of a body. \returns false if it does not end within
  /// \p MaxBytes and \p Timeout, or breaks; the connection can't be reused
  /// then.
  bool discardBody(core::Duration Timeout, std::size_t MaxBytes,
                   boost::asio::yield_context Yield);
  /// Reads a complete response. \p Timeout applies to the head and to each part
  /// of the body, which has to end within MaxBodyTime.
  /// \throws core::Error of kind OutcomeUnknown, or LimitExceeded when the body
  /// is longer than \p MaxBytes.
  ResponseMessage readResponse(core::Duration Timeout, std::size_t MaxBytes,
                               boost::asio::yield_context Yield);

  /// Returns the number of requests sent, a failed one included.
  std::size_t requestsSent() const;
  /// Returns whether the last response was read completely.
  bool isResponseComplete() const;
  /// Returns true when the last response was read completely and the server
  /// has since neither closed the connection nor sent anything.
  bool isReusable();
  /// Closes the connection; a pending operation fails with OutcomeUnknown.
  void close();

  /// Bound of bytes that are held because they are not part of a body: a head,
  /// a chunk's extensions, trailers.
  static constexpr std::size_t MaxUnparsedBytes = 131072;
  /// Time from its head within which readResponse() completes a response.
  static constexpr std::chrono::seconds MaxBodyTime{8};

private:
  class Implementation;
  explicit ClientConnection(std::unique_ptr<Implementation> Impl);
  std::unique_ptr<Implementation> m_Impl;
};

} // namespace yardrill::http

#endif
