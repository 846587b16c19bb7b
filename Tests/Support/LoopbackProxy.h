//===-- LoopbackProxy.h - A TCP proxy that disturbs what it carries -------===//
#ifndef YARDRILL_TESTS_SUPPORT_LOOPBACKPROXY_H
#define YARDRILL_TESTS_SUPPORT_LOOPBACKPROXY_H

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <memory>

namespace yardrill::tests {

/// How a proxy treats bytes. A cut is silent: nothing is closed, and what was
/// held back is delivered once the proxy passes again.
enum class ProxyMode {
  PassThrough,
  Delayed,
  CutForward,
  CutBackward,
  CutBoth,
  Reset,  ///< New connections are reset.
  Closed, ///< Nobody listens: new connections are refused, as after a crash.
};

/// Forwards connections on a loopback port to another one.
class LoopbackProxy {
public:
  LoopbackProxy(boost::asio::io_context &Context, int Port, int ToPort);

  int port() const { return m_Port; }
  void setMode(ProxyMode Mode);
  /// All answers together pass at this rate, each connection in its turn, as
  /// over the link of a small machine. 0: as fast as they come.
  void limitResponseRate(double BytesPerSecond) {
    m_ResponseRate = BytesPerSecond;
  }
  /// Resets every connection that is open now.
  void resetAll();
  /// Resets connections over which nothing has come for \p Idle.
  void resetIdle(std::chrono::milliseconds Idle);

private:
  struct ProxiedConnection {
    explicit ProxiedConnection(boost::asio::io_context &Context)
        : m_Downstream(Context), m_Upstream(Context) {}
    boost::asio::ip::tcp::socket m_Downstream;
    boost::asio::ip::tcp::socket m_Upstream;
    std::chrono::steady_clock::time_point m_LastByte;
    void reset();
  };
  using ConnectionHandle = std::shared_ptr<ProxiedConnection>;

  void listen();
  void accept(boost::asio::yield_context Yield);
  void connect(const ConnectionHandle &Connection,
               boost::asio::yield_context Yield);
  void pump(const ConnectionHandle &Connection, bool IsForward,
            boost::asio::yield_context Yield);
  void holdBack(bool IsForward, boost::asio::yield_context Yield);
  bool isCut(bool IsForward) const;
  /// Until \p Size more bytes have passed the limited link.
  void waitForLink(std::size_t Size, boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  int m_Port;
  int m_ToPort;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::list<std::weak_ptr<ProxiedConnection>> m_Connections;
  ProxyMode m_Mode = ProxyMode::PassThrough;
  double m_ResponseRate = 0;
  std::chrono::steady_clock::time_point m_LinkFreeAt;
};

} // namespace yardrill::tests

#endif
