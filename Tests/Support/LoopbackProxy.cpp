#include "LoopbackProxy.h"

#include "Sleep.h"

#include <algorithm>
#include <array>

namespace yardrill::tests {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

static constexpr std::size_t BufferBytes = 16384;
/// Delay of each read in ProxyMode::Delayed.
static constexpr std::chrono::milliseconds AddedDelay{120};
/// Period at which a cut connection checks the mode.
static constexpr std::chrono::milliseconds CutPollPeriod{10};

/// Receive buffer of a limited link, small so that senders do not see bytes as
/// sent that are still in the link.
static constexpr int LimitedBufferBytes = 16384;

static tcp::endpoint loopback(int Port) {
  return {asio::ip::make_address("127.0.0.1"),
          static_cast<std::uint16_t>(Port)};
}

LoopbackProxy::LoopbackProxy(asio::io_context &Context, int Port, Endpoint To)
    : m_Context(Context), m_Port(Port), m_To(std::move(To)),
      m_Acceptor(Context), m_Queue(Context) {
  listen();
}

LoopbackProxy::LoopbackProxy(asio::io_context &Context, int Port, int ToPort)
    : LoopbackProxy(Context, Port, loopback(ToPort)) {}

void LoopbackProxy::listen() {
  m_Acceptor = tcp::acceptor(m_Context, loopback(m_Port));
  asio::spawn(
      m_Context, [this](asio::yield_context Yield) { accept(Yield); },
      asio::detached);
}

void LoopbackProxy::listenSilently() {
  m_Acceptor = tcp::acceptor(m_Context);
  m_Acceptor.open(tcp::v4());
  m_Acceptor.set_option(tcp::acceptor::reuse_address(true));
  m_Acceptor.bind(loopback(m_Port));
  m_Acceptor.listen(FullListenQueue::Length);
  m_Queue.fill(loopback(m_Port));
}

void LoopbackProxy::setMode(ProxyMode Mode) {
  bool WasListening = m_Mode != ProxyMode::Silent && m_Acceptor.is_open();
  m_Mode = Mode;
  bool MustListen = Mode != ProxyMode::Closed && Mode != ProxyMode::Silent;
  if (WasListening && MustListen)
    return;
  m_Queue.clear();
  m_Acceptor.close();
  if (MustListen)
    listen();
  else if (Mode == ProxyMode::Silent)
    listenSilently();
}

void LoopbackProxy::ProxiedConnection::reset() {
  for (tcp::socket *Each : {&m_Downstream, &m_Upstream}) {
    error_code Ignored;
    Each->set_option(asio::socket_base::linger(true, 0), Ignored);
    Each->close(Ignored);
  }
}

void LoopbackProxy::resetAll() { resetIdle(std::chrono::milliseconds(0)); }

void LoopbackProxy::resetIdle(std::chrono::milliseconds Idle) {
  for (const auto &Weak : m_Connections) {
    ConnectionHandle Connection = Weak.lock();
    if (Connection && Clock::now() - Connection->m_LastByte >= Idle)
      Connection->reset();
  }
}

void LoopbackProxy::accept(asio::yield_context Yield) {
  while (true) {
    auto Connection = std::make_shared<ProxiedConnection>(m_Context);
    error_code Failure;
    m_Acceptor.async_accept(Connection->m_Downstream, Yield[Failure]);
    if (Failure)
      return;
    m_Connections.remove_if([](const auto &Weak) { return Weak.expired(); });
    m_Connections.push_back(Connection);
    asio::spawn(
        m_Context,
        [this, Connection](asio::yield_context Inner) {
          connect(Connection, Inner);
        },
        asio::detached);
  }
}

void LoopbackProxy::connect(const ConnectionHandle &Connection,
                            asio::yield_context Yield) {
  error_code Failure;
  Connection->m_LastByte = Clock::now();
  if (m_Mode == ProxyMode::Reset)
    return Connection->reset();
  if (m_ResponseRate > 0) {
    Connection->m_Upstream.open(tcp::v4());
    Connection->m_Upstream.set_option(
        asio::socket_base::receive_buffer_size(LimitedBufferBytes));
  }
  Connection->m_Upstream.async_connect(m_To, Yield[Failure]);
  if (Failure)
    return Connection->reset();
  error_code Ignored;
  Connection->m_Downstream.set_option(tcp::no_delay(true), Ignored);
  Connection->m_Upstream.set_option(tcp::no_delay(true), Ignored);
  asio::spawn(
      m_Context,
      [this, Connection](asio::yield_context Inner) {
        pump(Connection, false, Inner);
      },
      asio::detached);
  pump(Connection, true, Yield);
}

bool LoopbackProxy::isCut(bool IsForward) const {
  return m_Mode == ProxyMode::CutBoth || m_Mode == ProxyMode::Silent ||
         m_Mode == (IsForward ? ProxyMode::CutForward : ProxyMode::CutBackward);
}

void LoopbackProxy::holdBack(bool IsForward, asio::yield_context Yield) {
  if (m_Mode == ProxyMode::Delayed)
    sleepFor(m_Context, AddedDelay, Yield);
  while (isCut(IsForward))
    sleepFor(m_Context, CutPollPeriod, Yield);
}

void LoopbackProxy::waitForLink(std::size_t Size, asio::yield_context Yield) {
  std::chrono::duration<double> TransferTime(static_cast<double>(Size) /
                                             m_ResponseRate);
  m_LinkFreeAt = std::max(m_LinkFreeAt, Clock::now()) +
                 std::chrono::duration_cast<Clock::duration>(TransferTime);
  asio::steady_timer Timer(m_Context, m_LinkFreeAt);
  error_code Ignored;
  Timer.async_wait(Yield[Ignored]);
}

void LoopbackProxy::pump(const ConnectionHandle &Connection, bool IsForward,
                         asio::yield_context Yield) {
  tcp::socket &From =
      IsForward ? Connection->m_Downstream : Connection->m_Upstream;
  tcp::socket &To =
      IsForward ? Connection->m_Upstream : Connection->m_Downstream;
  std::array<char, BufferBytes> Buffer;
  while (true) {
    error_code Failure;
    std::size_t Size =
        From.async_read_some(asio::buffer(Buffer), Yield[Failure]);
    if (Failure && IsForward)
      Connection->m_IsClosedByClient = true;
    // A cut holds back the end of the stream like bytes.
    holdBack(IsForward, Yield);
    if (!IsForward && m_ResponseRate > 0)
      waitForLink(Size, Yield);
    Connection->m_LastByte = Clock::now();
    error_code Ignored;
    if (Failure == asio::error::eof) {
      To.shutdown(tcp::socket::shutdown_send, Ignored);
      return;
    }
    TimePoint SentAt = Clock::now();
    if (!Failure && IsForward && !Connection->m_SecondCopy.empty()) {
      std::string Copy = std::exchange(Connection->m_SecondCopy, "");
      asio::async_write(From, asio::buffer(Copy), Yield[Failure]);
    }
    if (!Failure && !IsForward && m_RepeatHook &&
        m_RepeatHook({Buffer.data(), Size}))
      Connection->m_SecondCopy.assign(Buffer.data(), Size);
    if (!Failure)
      asio::async_write(To, asio::buffer(Buffer, Size), Yield[Failure]);
    if (Failure)
      return Connection->reset();
    if (!IsForward && !Connection->m_IsClosedByClient && m_DeliveryHook)
      m_DeliveryHook({Buffer.data(), Size}, SentAt);
  }
}

} // namespace yardrill::tests
