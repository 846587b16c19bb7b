//===-- ClientConnection.h - One HTTP/1.1 connection to a server ----------===//
#ifndef YARDRILL_LIBHTTP_CLIENTCONNECTION_H
#define YARDRILL_LIBHTTP_CLIENTCONNECTION_H

#include "LibCore/Time.h"
#include "LibHTTP/Message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>

namespace yardrill::http {

/// A connection in use by one coroutine. Failures before a byte was sent have
/// kind Unavailable, later ones OutcomeUnknown.
class ClientConnection {
public:
  /// \throws core::Error of kind Refused or Unavailable.
  static std::unique_ptr<ClientConnection>
  connect(boost::asio::io_context &Context,
          const boost::asio::ip::tcp::endpoint &Address, core::Duration Timeout,
          boost::asio::yield_context Yield);
  ~ClientConnection();

  /// \throws core::Error of kind OutcomeUnknown: bytes may have arrived.
  void sendRequest(const RequestMessage &Request, core::Duration Timeout,
                   boost::asio::yield_context Yield);
  /// Takes answers with neither length nor chunks, whose body ends with the
  /// connection (RFC 9112, section 6.3). Without this they are an error, since
  /// a stop of the other side looks like their end.
  void allowCloseDelimitedBody();
  /// \throws core::Error of kind OutcomeUnknown.
  ResponseHead readHead(core::Duration Timeout,
                        boost::asio::yield_context Yield);
  /// \returns the next bytes of the body; empty at its end.
  /// \throws core::Error of kind OutcomeUnknown when the body is cut short.
  std::string readBodyData(core::Duration Timeout,
                           boost::asio::yield_context Yield);
  /// readHead() and all pieces; at most \p MaxBytes.
  ResponseMessage readResponse(core::Duration Timeout, std::size_t MaxBytes,
                               boost::asio::yield_context Yield);

  /// True when the last answer was read whole and the other side has neither
  /// closed nor sent anything since.
  bool isReusable();
  /// Closes at once; a coroutine that waits here gets OutcomeUnknown.
  void close();

private:
  class Implementation;
  explicit ClientConnection(std::unique_ptr<Implementation> Impl);
  std::unique_ptr<Implementation> m_Impl;
};

} // namespace yardrill::http

#endif
