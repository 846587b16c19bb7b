//===-- ExitingTarget.h - Target that requests can make exit --------------===//
//
// It can also state backpressure (a rate limit, a back-off, or that it leaves)
// and has a version, which its streams show. Used by GatewayFleet.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_EXITINGTARGET_H
#define YARDRILL_TESTS_SUPPORT_EXITINGTARGET_H

#include "ScriptedTarget.h"
#include "SharedStore.h"

#include "LibCore/Time.h"

#include <list>

namespace yardrill::tests {

/// Body of a request that makes the target that runs it exit.
inline const char ExitRequestBody[] = "ends its target";
/// Body of a stream request that makes the target exit; a new stream has sent
/// its first event by then.
inline const char MidStreamExitRequestBody[] = "ends its target midway";

/// Id of a part of a prompt that makes each target exit which begins to respond
/// to a request with it.
inline const char ExitPromptPart[] = "dead5eed";
/// Path of streams whose events show the version of their target. A new one
/// ends ExitingTarget::VersionedStreamTime after its first event.
inline const char VersionedStreamPath[] = "/stream/versions";

/// Request that a target received.
struct Arrival {
  core::TimePoint m_At;
  std::string m_Body;
  std::size_t m_Target = 0;   ///< Index of the target, the same after exits.
  bool m_HasExitPart = false; ///< Whether its prompt has ExitPromptPart.
};

/// Backpressure that a target states in its responses.
struct ScriptedBackpressure {
  std::string m_Headers; ///< Complete header lines for each response.
  /// Whether it answers requests with 503 instead of running them.
  bool m_RefusesRequests = false;
};

/// Requests and exits of all targets of a test.
struct ArrivalLog {
  std::mutex m_Mutex;
  std::vector<Arrival> m_Arrivals;
  std::vector<core::TimePoint> m_Exits; ///< Exits caused by requests.
};

/// Target that responds after WorkTime. When it exits, it resets its
/// connections and closes its port; after DownTime it listens on the same port
/// and announces itself under the name of a new incarnation. The store keeps
/// the announcement of the previous incarnation until then.
class ExitingTarget {
public:
  ExitingTarget(asio::io_context &Context, SharedStore &Store, ArrivalLog &Log,
                std::size_t Number)
      : m_Context(Context), m_Store(Store), m_ArrivalLog(Log), m_Number(Number),
        m_Acceptor(Context), m_Port(0) {
    listen();
    announce();
  }

  /// Sets the backpressure of responses to requests received from now on.
  void setBackpressure(ScriptedBackpressure Backpressure) {
    m_Backpressure = std::move(Backpressure);
  }
  /// Sets the version from the next announcement on, which is made at once.
  void setVersion(std::string Version) {
    m_Version = std::move(Version);
    announce();
  }
  /// Announces itself again under the same name.
  void reannounce() { announce(); }
  /// Announces that it leaves; it goes on serving.
  void announceLeaving() { announce("draining"); }
  void withdrawAnnouncement() { m_Store.remove(key()); }

  /// Exits and restarts for a reason unrelated to requests.
  void simulateExit() {
    std::string OldKey = key();
    m_Acceptor.close();
    for (const auto &Each : m_Sockets)
      if (auto Socket = Each.lock())
        reset(*Socket);
    m_Sockets.clear();
    ++m_Incarnation;
    auto Restart = std::make_shared<asio::steady_timer>(m_Context, DownTime);
    Restart->async_wait(
        [this, Restart, OldKey](boost::system::error_code Failure) {
          if (Failure)
            return;
          m_Store.remove(OldKey);
          listen();
          announce();
        });
  }
  /// Resets all connections without exiting.
  void resetConnections() {
    for (const auto &Each : m_Sockets)
      if (auto Socket = Each.lock())
        reset(*Socket);
  }

  static constexpr std::chrono::milliseconds DownTime{400};
  static constexpr std::chrono::milliseconds WorkTime{30};
  static constexpr std::chrono::milliseconds VersionedStreamTime{1500};
  /// Length of a response that fills the buffers of a connection.
  static constexpr std::size_t LargeBytes = 32UL << 20;

private:
  using SocketHandle = std::shared_ptr<tcp::socket>;

  std::string name() const {
    return "i-" + std::to_string(m_Number) + "-" +
           std::to_string(m_Incarnation);
  }
  std::string key() const { return "servers/" + name(); }
  void announce(const std::string &State = "ready") {
    m_Store.put(key(), R"({"service":"app","address":"127.0.0.1:)" +
                           std::to_string(m_Port) +
                           R"(","zone":"hall","version":")" + m_Version +
                           R"(","slots":4,"state":")" + State +
                           R"(","coldLeftMs":0,"seq":1,"born":0})");
  }
  void listen() {
    m_Acceptor =
        tcp::acceptor(m_Context, {asio::ip::make_address("127.0.0.1"),
                                  static_cast<asio::ip::port_type>(m_Port)});
    m_Port = m_Acceptor.local_endpoint().port();
    asio::spawn(
        m_Context, [this](asio::yield_context Yield) { accept(Yield); },
        asio::detached);
  }
  static void reset(tcp::socket &Socket) {
    boost::system::error_code Ignored;
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    Socket.close(Ignored);
  }
  void accept(asio::yield_context Yield) {
    while (true) {
      auto Socket = std::make_shared<tcp::socket>(m_Context);
      boost::system::error_code Failure;
      m_Acceptor.async_accept(*Socket, Yield[Failure]);
      if (Failure)
        return;
      m_Sockets.remove_if([](const auto &Each) { return Each.expired(); });
      m_Sockets.push_back(Socket);
      asio::spawn(
          m_Context,
          [this, Socket](asio::yield_context Inner) { serve(Socket, Inner); },
          asio::detached);
    }
  }
  void work(core::Duration Time, asio::yield_context Yield) {
    asio::steady_timer Timer(m_Context, Time);
    boost::system::error_code Ignored;
    Timer.async_wait(Yield[Ignored]);
  }
  static bool hasExitPart(const Request &Received) {
    return Received["Prefix-Hash"].find(ExitPromptPart) !=
           beast::string_view::npos;
  }
  std::string versionedEvent(int Id) const {
    return chunk("id: " + std::to_string(Id) + "\ndata: " + m_Version + "\n\n");
  }
  /// Sends the first \p Bytes of a response and closes the connection.
  static void cutResponse(tcp::socket &Socket, const std::string &Response,
                          const std::string &Bytes, asio::yield_context Yield) {
    boost::system::error_code Ignored;
    asio::async_write(Socket, asio::buffer(Response, std::stoul(Bytes)),
                      Yield[Ignored]);
    Socket.close(Ignored);
  }
  void exitUnderRequest() {
    {
      std::lock_guard<std::mutex> Lock(m_ArrivalLog.m_Mutex);
      m_ArrivalLog.m_Exits.push_back(core::steadyNow());
    }
    simulateExit();
  }
  void serve(const SocketHandle &Socket, asio::yield_context Yield) {
    beast::flat_buffer Buffer;
    boost::system::error_code Failure;
    while (true) {
      Request Received;
      beast::http::async_read(*Socket, Buffer, Received, Yield[Failure]);
      if (Failure)
        return;
      {
        std::lock_guard<std::mutex> Lock(m_ArrivalLog.m_Mutex);
        m_ArrivalLog.m_Arrivals.push_back({core::steadyNow(), Received.body(),
                                           m_Number, hasExitPart(Received)});
      }
      core::Duration Work = WorkTime;
      std::string Response =
          completeResponse(Received, "answer", "200 OK",
                           "Replica-Seal: s\r\n" + m_Backpressure.m_Headers);
      if (Received.target() == "/again/large")
        Response = completeResponse(Received, std::string(LargeBytes, 'x'),
                                    "200 OK", "Replica-Seal: s\r\n");
      if (Received["Expect-Replica"] != name())
        Response =
            completeResponse(Received, "", "421 Misdirected Request", "");
      else if (m_Backpressure.m_RefusesRequests)
        Response =
            completeResponse(Received, "", "503 Service Unavailable",
                             "Not-Executed: 1\r\n" + m_Backpressure.m_Headers);
      else if (Received.target() == VersionedStreamPath) {
        std::string Last(Received["Last-Event-Id"]);
        if (Last.empty()) {
          std::string First = streamHead(Received) + versionedEvent(1);
          asio::async_write(*Socket, asio::buffer(First), Yield[Failure]);
          Work = VersionedStreamTime;
        }
        Response =
            versionedEvent(std::atoi(Last.c_str()) + (Last.empty() ? 2 : 1)) +
            "0\r\n\r\n";
        if (!Last.empty())
          Response = streamHead(Received) + Response;
      } else if (Received.target().starts_with("/stream/")) {
        std::string First = streamHead(Received) + chunk("id: 1\ndata: a\n\n");
        if (Received["Last-Event-Id"].empty())
          asio::async_write(*Socket, asio::buffer(First), Yield[Failure]);
        Response = chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
        if (!Received["Last-Event-Id"].empty())
          Response = streamHead(Received) + Response;
      }
      if (!Received["Test-Cut"].empty())
        return cutResponse(*Socket, Response, std::string(Received["Test-Cut"]),
                           Yield);
      if (!m_Backpressure.m_RefusesRequests)
        work(Work, Yield);
      if (!Socket->is_open())
        return;
      if (Received.body() == ExitRequestBody ||
          Received.body() == MidStreamExitRequestBody || hasExitPart(Received))
        return exitUnderRequest();
      asio::async_write(*Socket, asio::buffer(Response), Yield[Failure]);
      if (Failure)
        return;
    }
  }

  asio::io_context &m_Context;
  SharedStore &m_Store;
  ArrivalLog &m_ArrivalLog;
  std::size_t m_Number;
  std::size_t m_Incarnation = 1;
  std::string m_Version = "v1";
  ScriptedBackpressure m_Backpressure;
  tcp::acceptor m_Acceptor;
  int m_Port;
  std::list<std::weak_ptr<tcp::socket>> m_Sockets;
};

} // namespace yardrill::tests

#endif
