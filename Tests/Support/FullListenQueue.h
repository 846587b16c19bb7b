//===-- FullListenQueue.h - Connections that stay in progress -------------===//
#ifndef YARDRILL_TESTS_SUPPORT_FULLLISTENQUEUE_H
#define YARDRILL_TESTS_SUPPORT_FULLLISTENQUEUE_H

#include <boost/asio.hpp>
#include <list>

namespace yardrill::tests {

/// Fills the queue of a listening socket that accepts no connections, so that
/// the kernel drops further ones.
class FullListenQueue {
public:
  /// Length of the queue that the socket has to listen with.
  static constexpr int Length = 0;

  explicit FullListenQueue(boost::asio::io_context &Context)
      : m_Context(Context) {}

  void fill(const boost::asio::ip::tcp::endpoint &Address) {
    /// A queue of that length holds one connection; the others are in progress.
    static constexpr int Connections = 3;
    for (int I = 0; I < Connections; ++I) {
      auto &Queued = m_Queued.emplace_back(m_Context);
      Queued.open(boost::asio::ip::tcp::v4());
      Queued.native_non_blocking(true);
      // Asio's connect() would wait for the connection.
      [[maybe_unused]] int InProgress =
          ::connect(Queued.native_handle(), Address.data(),
                    static_cast<socklen_t>(Address.size()));
    }
  }
  void clear() { m_Queued.clear(); }

private:
  boost::asio::io_context &m_Context;
  std::list<boost::asio::ip::tcp::socket> m_Queued;
};

} // namespace yardrill::tests

#endif
