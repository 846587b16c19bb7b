//===-- LoopbackProxy.h - TCP proxy that injects network faults -----------===//
#ifndef YARDRILL_TESTS_SUPPORT_LOOPBACKPROXY_H
#define YARDRILL_TESTS_SUPPORT_LOOPBACKPROXY_H

#include "FullListenQueue.h"

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string_view>

namespace yardrill::tests {

/// Treatment of connections and bytes. A cut is silent: connections stay open,
/// and the proxy delivers the bytes that it held back once the cut ends.
enum class ProxyMode {
  PassThrough,
  Delayed,
  CutForward,
  CutBackward,
  CutBoth,
  Silent, ///< As CutBoth, and new connections hang.
  Reset,  ///< New connections are reset.
  Closed, ///< New connections are refused, as after a crash of the server.
};

/// Forwards connections on a loopback port to another loopback address.
class LoopbackProxy {
public:
  using Endpoint = boost::asio::ip::tcp::endpoint;

  LoopbackProxy(boost::asio::io_context &Context, int Port, Endpoint To);
  /// Forwards to a port of 127.0.0.1.
  LoopbackProxy(boost::asio::io_context &Context, int Port, int ToPort);

  /// Forwards new connections to another address from now on.
  void setDestination(const Endpoint &To) { m_To = To; }
  int port() const { return m_Port; }
  void setMode(ProxyMode Mode);
  /// Limits the rate of all responses together, as the link of a small machine
  /// does. 0 means unlimited.
  void limitResponseRate(double BytesPerSecond) {
    m_ResponseRate = BytesPerSecond;
  }
  using TimePoint = std::chrono::steady_clock::time_point;
  /// Receives a piece of a response, and the time before which the client
  /// cannot have read it.
  using DeliveryHook = std::function<void(std::string_view, TimePoint)>;
  /// \param Hook called with each piece of a response after it was sent to a
  ///   client whose connection is open. The client may have read it by then.
  void setDeliveryHook(DeliveryHook Hook) { m_DeliveryHook = std::move(Hook); }
  /// \param Hook whether to send a piece of a response a second time, once the
  ///   client has begun to send its next request on the connection.
  void setRepeatHook(std::function<bool(std::string_view)> Hook) {
    m_RepeatHook = std::move(Hook);
  }
  /// Resets all open connections.
  void resetAll();
  /// Resets connections that have transferred nothing for \p Idle.
  void resetIdle(std::chrono::milliseconds Idle);

private:
  struct ProxiedConnection {
    explicit ProxiedConnection(boost::asio::io_context &Context)
        : m_Downstream(Context), m_Upstream(Context) {}
    boost::asio::ip::tcp::socket m_Downstream;
    boost::asio::ip::tcp::socket m_Upstream;
    TimePoint m_LastByte;
    bool m_IsClosedByClient = false;
    std::string m_SecondCopy; ///< To be sent before the next response.
    void reset();
  };
  using ConnectionHandle = std::shared_ptr<ProxiedConnection>;

  void listen();
  /// Listens without accepting, and fills the queue of new connections, so that
  /// the kernel drops further ones.
  void listenSilently();
  void accept(boost::asio::yield_context Yield);
  void connect(const ConnectionHandle &Connection,
               boost::asio::yield_context Yield);
  void pump(const ConnectionHandle &Connection, bool IsForward,
            boost::asio::yield_context Yield);
  void holdBack(bool IsForward, boost::asio::yield_context Yield);
  bool isCut(bool IsForward) const;
  /// Waits until \p Size more bytes have passed the limited link.
  void waitForLink(std::size_t Size, boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  int m_Port;
  Endpoint m_To;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::list<std::weak_ptr<ProxiedConnection>> m_Connections;
  FullListenQueue m_Queue; ///< Full while the mode is Silent.
  ProxyMode m_Mode = ProxyMode::PassThrough;
  double m_ResponseRate = 0;
  DeliveryHook m_DeliveryHook;
  std::function<bool(std::string_view)> m_RepeatHook;
  TimePoint m_LinkFreeAt;
};

} // namespace yardrill::tests

#endif
