#include "LibHTTP/Server.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibHTTP/ServerConnection.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <list>

namespace yardrill::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

static const std::chrono::milliseconds AcceptRetryDelay(50);

namespace {

class BeastServer final : public Server {
public:
  BeastServer(asio::io_context &Context, const tcp::endpoint &Address,
              const ServerLimits &Limits, Handler Handle,
              ErrorResponseFactory MakeErrorResponse)
      : m_Context(Context), m_Acceptor(Context), m_Limits(Limits),
        m_BodyBudget(Limits.m_AllBodyBytes), m_Handle(std::move(Handle)),
        m_MakeErrorResponse(std::move(MakeErrorResponse)),
        m_AcceptTimer(Context) {
    listen(Address);
    asio::spawn(
        m_Context, [this](asio::yield_context Yield) { accept(Yield); },
        asio::detached);
  }

  std::uint16_t port() const override { return m_Port; }
  std::size_t openConnections() const override { return m_Connections.size(); }
  ByteBudget &bodyBudget() override { return m_BodyBudget; }
  const TransferMeter &transfers() const override { return m_Transfers; }
  std::size_t openRequests() const override {
    return static_cast<std::size_t>(
        std::count_if(m_Connections.begin(), m_Connections.end(),
                      [](const auto &C) { return !C->isIdle(); }));
  }
  void setLimits(const ServerLimits &Limits) override { m_Limits = Limits; }
  void disableKeepAlive() override { m_IsKeepAliveDisabled = true; }
  void stopAccepting() override;

private:
  void listen(const tcp::endpoint &Address);
  void accept(asio::yield_context Yield);
  void serve(tcp::socket Socket);

  asio::io_context &m_Context;
  tcp::acceptor m_Acceptor;
  ServerLimits m_Limits;
  ByteBudget m_BodyBudget;
  TransferMeter m_Transfers;
  Handler m_Handle;
  ErrorResponseFactory m_MakeErrorResponse;
  /// Delays the next accept; cancelled when a connection closes.
  core::Timer m_AcceptTimer;
  std::list<std::shared_ptr<ServerConnection>> m_Connections;
  bool m_IsKeepAliveDisabled = false;
  bool m_IsStopping = false;
  std::uint16_t m_Port = 0;
};

} // namespace

void BeastServer::listen(const tcp::endpoint &Address) {
  error_code Failure;
  m_Acceptor.open(Address.protocol(), Failure);
  if (!Failure)
    m_Acceptor.set_option(asio::socket_base::reuse_address(true), Failure);
  if (!Failure)
    m_Acceptor.bind(Address, Failure);
  if (!Failure)
    m_Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    throw core::Error(core::ErrorKind::AddressInUse,
                      Address.address().to_string() + ":" +
                          std::to_string(Address.port()) + ": " +
                          Failure.message());
  m_Port = m_Acceptor.local_endpoint().port();
}

void BeastServer::accept(asio::yield_context Yield) {
  while (!m_IsStopping) {
    error_code Failure;
    if (m_Connections.size() >= m_Limits.m_OpenConnections) {
      m_AcceptTimer.expires_at(core::Timer::time_point::max());
      m_AcceptTimer.async_wait(Yield[Failure]);
      continue;
    }
    tcp::socket Socket(m_Context);
    m_Acceptor.async_accept(Socket, Yield[Failure]);
    if (m_IsStopping)
      return;
    if (!Failure) {
      serve(std::move(Socket));
      continue;
    }
    // Usually the process is out of file descriptors. Retried after a delay, or
    // earlier when a connection closes.
    core::LogLine("accept-failed", core::LogLevel::Warning)
        .add("reason", Failure.message());
    m_AcceptTimer.expires_after(AcceptRetryDelay);
    m_AcceptTimer.async_wait(Yield[Failure]);
  }
}

void BeastServer::serve(tcp::socket Socket) {
  auto Position = m_Connections.insert(
      m_Connections.end(),
      std::make_shared<ServerConnection>(
          std::move(Socket), m_Limits, m_BodyBudget, m_Transfers, m_Handle,
          m_MakeErrorResponse, m_IsKeepAliveDisabled));
  asio::spawn(
      m_Context,
      [this, Position](asio::yield_context Yield) {
        auto Owned = *Position;
        try {
          Owned->run(Yield);
        } catch (const std::exception &Failure) {
          core::LogLine("connection-failure", core::LogLevel::Warning)
              .add("reason", Failure.what());
          Owned->abort();
        }
        m_Connections.erase(Position);
        m_AcceptTimer.cancel();
      },
      asio::detached);
}

void BeastServer::stopAccepting() {
  m_IsKeepAliveDisabled = m_IsStopping = true;
  m_Acceptor.close();
  m_AcceptTimer.cancel();
  for (auto &Connection : m_Connections)
    if (Connection->isIdle())
      Connection->close();
}

std::unique_ptr<Server> Server::create(asio::io_context &Context,
                                       const tcp::endpoint &Address,
                                       const ServerLimits &Limits,
                                       Handler Handle,
                                       ErrorResponseFactory MakeErrorResponse) {
  return std::make_unique<BeastServer>(Context, Address, Limits,
                                       std::move(Handle),
                                       std::move(MakeErrorResponse));
}

} // namespace yardrill::http
