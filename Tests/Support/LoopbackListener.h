//===-- LoopbackListener.h - Accepts connections for a test ---------------===//
#ifndef YARDRILL_TESTS_SUPPORT_LOOPBACKLISTENER_H
#define YARDRILL_TESTS_SUPPORT_LOOPBACKLISTENER_H

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>

namespace yardrill::tests {

/// Listens on a free port of 127.0.0.1 and serves each connection in a
/// coroutine of its own, which closes it when it returns.
class LoopbackListener {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using Handler = std::function<void(Socket &, boost::asio::yield_context)>;

  LoopbackListener(boost::asio::io_context &Context, Handler Serve)
      : m_Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        m_Serve(std::move(Serve)) {
    boost::asio::spawn(
        Context, [this](boost::asio::yield_context Yield) { accept(Yield); },
        boost::asio::detached);
  }

  int port() const { return m_Acceptor.local_endpoint().port(); }

private:
  void accept(boost::asio::yield_context Yield) {
    while (true) {
      auto Connection = std::make_shared<Socket>(m_Acceptor.get_executor());
      m_Acceptor.async_accept(*Connection, Yield);
      boost::asio::spawn(
          m_Acceptor.get_executor(),
          [this, Connection](boost::asio::yield_context Inner) {
            m_Serve(*Connection, Inner);
          },
          boost::asio::detached);
    }
  }

  boost::asio::ip::tcp::acceptor m_Acceptor;
  Handler m_Serve;
};

} // namespace yardrill::tests

#endif
