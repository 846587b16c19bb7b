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
/// Period in which a server that refuses connections checks its intake.
static const std::chrono::milliseconds IntakeCheckPeriod(10);
/// Shortest time for which connections are refused.
static const std::chrono::milliseconds MinRefusingTime(50);
/// Time after a refusal for which kept connections end with their next
/// response, so that their callers move to other instances as well.
static const std::chrono::seconds ReconnectPeriod(1);

namespace {

class BeastServer final : public Server {
public:
  BeastServer(asio::io_context &Context, const tcp::endpoint &Address,
              const ServerLimits &Limits, Handler Handle,
              ErrorResponseFactory MakeErrorResponse)
      : m_Context(Context), m_Acceptor(Context), m_Limits(Limits),
        m_BodyBudget(Limits.m_AllBodyBytes),
        m_Intake(Limits.m_LinkBytesPerSecond.value_or(0)),
        m_IsIntakeLimited(Limits.m_LinkBytesPerSecond.has_value()),
        m_Handle(std::move(Handle)),
        m_MakeErrorResponse(std::move(MakeErrorResponse)),
        m_AcceptTimer(Context), m_Address(Address) {
    if (error_code Failure = listen())
      throw core::Error(core::ErrorKind::AddressInUse,
                        Address.address().to_string() + ":" +
                            std::to_string(Address.port()) + ": " +
                            Failure.message());
    asio::spawn(
        m_Context, [this](asio::yield_context Yield) { accept(Yield); },
        asio::detached);
  }

  std::uint16_t port() const override { return m_Address.port(); }
  std::size_t openConnections() const override { return m_Connections.size(); }
  ByteBudget &bodyBudget() override { return m_BodyBudget; }
  IntakeLimiter &intake() override { return m_Intake; }
  core::Duration refusingTime() const override;
  std::size_t openRequests() const override {
    return static_cast<std::size_t>(
        std::count_if(m_Connections.begin(), m_Connections.end(),
                      [](const auto &C) { return !C->isIdle(); }));
  }
  void setLimits(const ServerLimits &Limits) override { m_Limits = Limits; }
  void disableKeepAlive() override { m_IsKeepAliveDisabled = true; }
  void stopAccepting() override;

private:
  error_code listen();
  /// Refuses connections until the intake allows one: the kernel resets those
  /// that it has not handed over, and all that arrive.
  void refuseConnections(asio::yield_context Yield);
  bool shouldEndKeepAlive() const {
    return m_LastRefusalAt &&
           core::steadyNow() < *m_LastRefusalAt + ReconnectPeriod;
  }
  void accept(asio::yield_context Yield);
  /// Accepts the connections that the kernel has queued meanwhile. One in each
  /// turn of a busy event loop would leave a queue that the intake doesn't see.
  void acceptQueued();
  bool isIntakeOpen() const {
    return !m_IsIntakeLimited || m_Intake.mayAccept(core::steadyNow());
  }
  void serve(tcp::socket Socket);

  asio::io_context &m_Context;
  tcp::acceptor m_Acceptor;
  ServerLimits m_Limits;
  ByteBudget m_BodyBudget;
  IntakeLimiter m_Intake;
  bool m_IsIntakeLimited;
  core::Duration m_RefusingTime{}; ///< Without the current period.
  /// Begin of the current period of refusals; none: connections are accepted.
  std::optional<core::TimePoint> m_RefusingSince;
  /// Latest time at which connections were refused.
  std::optional<core::TimePoint> m_LastRefusalAt;
  Handler m_Handle;
  ErrorResponseFactory m_MakeErrorResponse;
  /// Delays the next accept; cancelled when a connection closes.
  core::Timer m_AcceptTimer;
  std::list<std::shared_ptr<ServerConnection>> m_Connections;
  bool m_IsKeepAliveDisabled = false;
  bool m_IsStopping = false;
  tcp::endpoint m_Address;
};

} // namespace

error_code BeastServer::listen() {
  error_code Failure;
  m_Acceptor.open(m_Address.protocol(), Failure);
  if (!Failure)
    m_Acceptor.set_option(asio::socket_base::reuse_address(true), Failure);
  if (!Failure)
    m_Acceptor.bind(m_Address, Failure);
  if (!Failure)
    m_Acceptor.listen(asio::socket_base::max_listen_connections, Failure);
  if (!Failure)
    m_Address.port(m_Acceptor.local_endpoint().port());
  else
    m_Acceptor.close();
  return Failure;
}

core::Duration BeastServer::refusingTime() const {
  return m_RefusingSince ? m_RefusingTime + core::steadyNow() - *m_RefusingSince
                         : m_RefusingTime;
}

void BeastServer::refuseConnections(asio::yield_context Yield) {
  m_Acceptor.close();
  m_RefusingSince = core::steadyNow();
  error_code Failure;
  while (!m_IsStopping) {
    m_LastRefusalAt = core::steadyNow();
    m_AcceptTimer.expires_after(IntakeCheckPeriod);
    m_AcceptTimer.async_wait(Yield[Failure]);
    // The timer also ends when a connection closes.
    core::TimePoint Now = core::steadyNow();
    if (Now - *m_RefusingSince < MinRefusingTime || !m_Intake.mayResume(Now))
      continue;
    Failure = m_IsStopping ? error_code() : listen();
    if (!Failure)
      break;
    core::LogLine("listen-failed", core::LogLevel::Warning)
        .add("address", m_Address)
        .add("reason", Failure.message());
    m_AcceptTimer.expires_after(AcceptRetryDelay);
    m_AcceptTimer.async_wait(Yield[Failure]);
  }
  m_RefusingTime = refusingTime();
  m_RefusingSince.reset();
}

void BeastServer::accept(asio::yield_context Yield) {
  while (!m_IsStopping) {
    error_code Failure;
    if (m_Connections.size() >= m_Limits.m_OpenConnections) {
      m_AcceptTimer.expires_at(core::Timer::time_point::max());
      m_AcceptTimer.async_wait(Yield[Failure]);
      continue;
    }
    if (!isIntakeOpen()) {
      refuseConnections(Yield);
      continue;
    }
    tcp::socket Socket(m_Context);
    m_Acceptor.async_accept(Socket, Yield[Failure]);
    if (m_IsStopping)
      return;
    if (!Failure) {
      serve(std::move(Socket));
      acceptQueued();
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

void BeastServer::acceptQueued() {
  error_code Failure;
  m_Acceptor.non_blocking(true, Failure);
  while (!Failure && m_Connections.size() < m_Limits.m_OpenConnections &&
         isIntakeOpen()) {
    tcp::socket Socket(m_Context);
    m_Acceptor.accept(Socket, Failure);
    if (!Failure)
      serve(std::move(Socket));
  }
}

void BeastServer::serve(tcp::socket Socket) {
  auto Position = m_Connections.insert(
      m_Connections.end(),
      std::make_shared<ServerConnection>(
          std::move(Socket), m_Limits, m_BodyBudget, m_Intake, m_Handle,
          m_MakeErrorResponse, m_IsKeepAliveDisabled,
          [this] { return shouldEndKeepAlive(); }));
  asio::spawn(
      m_Context,
      [this, Position](asio::yield_context Yield) {
        auto Owned = *Position;
        try {
          Owned->run(Yield);
        } catch (const std::exception &Failure) {
          core::LogLine("connection-failure", core::LogLevel::Warning)
              .add("reason", Failure.what());
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
    Connection->closeWhenIdle();
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
