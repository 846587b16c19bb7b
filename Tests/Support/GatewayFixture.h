//===-- GatewayFixture.h - One real gateway and scripted targets ----------===//
#ifndef YARDRILL_TESTS_SUPPORT_GATEWAYFIXTURE_H
#define YARDRILL_TESTS_SUPPORT_GATEWAYFIXTURE_H

#include "ChangingStore.h"
#include "PlatformDialect.h"
#include "Process.h"
#include "ScriptedTarget.h"
#include "TestClient.h"

#include "LibGateway/Gateway.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace yardrill::tests {

inline const char Configuration[] = R"({"version":7,"routes":[
  {"host":"h","pathPrefix":"/once/","routeKind":"non_idempotent",
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":1},
  {"host":"h","pathPrefix":"/again/","routeKind":"idempotent",
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":2},
  {"host":"h","pathPrefix":"/open/","routeKind":"idempotent","public":true,
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":2},
  {"host":"h","pathPrefix":"/stream/","routeKind":"streaming",
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":2,
   "resumable":true},
  {"host":"h","pathPrefix":"/fragile/","routeKind":"streaming",
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":2}],
  "services":[{"name":"app"}],
  "tenants":[{"name":"owner","apiKeys":["key"]},
             {"name":"poor","apiKeys":["poor"],"ratePerS":10,"burst":10,
              "plainTokens":50}]})";

/// Runs a real gateway on loopback in a thread of its own.
class GatewayFixture : public CppUnit::TestFixture {
public:
  /// Destroys the gateway before the event loop with the coroutines of its
  /// requests, as at the end of the stop grace.
  void tearDown() override {
    if (!m_OwnContext)
      return;
    m_Context.stop();
    if (m_Thread.joinable())
      m_Thread.join();
    m_Gateway.reset();
    // Overwrites the freed memory, to expose uses after the destruction.
    std::vector<std::string> Overwritten(
        64, std::string(sizeof(gateway::Gateway) - 1, '\xff'));
    destroyTargets();
    m_OwnContext.reset();
  }

protected:
  /// Destroys what uses the event loop, while it still exists.
  virtual void destroyTargets() { m_Targets.clear(); }

  std::unique_ptr<asio::io_context> m_OwnContext =
      std::make_unique<asio::io_context>(1);
  asio::io_context &m_Context = *m_OwnContext;
  ChangingStore m_Store{m_Context};
  platform::PlatformDialect m_Dialect;
  std::vector<std::unique_ptr<ScriptedTarget>> m_Targets;
  std::unique_ptr<gateway::Gateway> m_Gateway;
  std::thread m_Thread;
  int m_CallerPort = 0;
  int m_ReadinessPort = 0;
  /// Region of each data hall in the gateway's settings.
  std::map<core::DataHallName, core::RegionName> m_Regions;
  bool m_IsFirstStart = false;

  void addTarget(ScriptedTarget::Script Respond) {
    m_Targets.push_back(
        std::make_unique<ScriptedTarget>(m_Context, std::move(Respond)));
    announce(m_Targets.size(), m_Targets.back()->port());
  }
  /// Announces a target from the start on.
  void announce(std::size_t Number, int Port, std::size_t Slots = 4) {
    m_Store.m_Content.push_back(
        {keyOf(Number), announcementAt(Port, 1, Slots), platform::Revision(2)});
  }
  static std::string keyOf(std::size_t Number) {
    return "servers/i-" + std::to_string(Number);
  }
  std::string announcement(std::size_t Number, std::int64_t StartTime) const {
    return announcementAt(m_Targets.at(Number - 1)->port(), StartTime);
  }
  static std::string announcementAt(int Port, std::int64_t StartTime,
                                    std::size_t Slots = 4) {
    return R"({"service":"app","address":"127.0.0.1:)" + std::to_string(Port) +
           R"(","zone":"hall","version":"v1","slots":)" +
           std::to_string(Slots) +
           R"(,"state":"ready","coldLeftMs":0,"seq":1,"born":)" +
           std::to_string(StartTime) + "}";
  }
  static config::Endpoint local(int Port) {
    return {"127.0.0.1", static_cast<std::uint16_t>(Port)};
  }
  void start(bool IsConfigured = true, bool MustBeReady = true) {
    startStepped(IsConfigured);
    m_Thread = std::thread([this] { m_Context.run(); });
    if (IsConfigured && MustBeReady)
      CPPUNIT_ASSERT(eventually([this] { return readiness() == 200; }));
  }
  /// Starts a gateway whose event loop the test runs.
  void startStepped(bool IsConfigured = true) {
    if (IsConfigured)
      m_Store.m_Content.push_back(
          {"op/config", Configuration, platform::Revision(1)});
    m_CallerPort = freePort();
    m_ReadinessPort = freePort();
    gateway::GatewaySettings Settings;
    Settings.m_Name = core::InstanceName("test");
    Settings.m_DataHall = core::DataHallName("hall");
    Settings.m_Regions = m_Regions;
    Settings.m_CallerAddress = local(m_CallerPort);
    Settings.m_ReadinessAddress = local(m_ReadinessPort);
    Settings.m_PeerAddress = local(freePort());
    Settings.m_IsFirstStart = m_IsFirstStart;
    // Only the ratio applies: a restarted process has no allowance at first.
    Settings.m_Retries = {3, std::chrono::seconds(10), 20};
    m_Gateway = gateway::Gateway::Builder()
                    .settings(Settings)
                    .dialect(m_Dialect)
                    .store(m_Store)
                    .build(m_Context);
    m_Gateway->start();
  }
  /// Runs the event loop of a stepped gateway until \p IsDone returns true.
  /// \returns false after StepTimeout.
  template <class Condition> bool runUntil(Condition IsDone) {
    auto End = std::chrono::steady_clock::now() + StepTimeout;
    while (!IsDone() && std::chrono::steady_clock::now() < End)
      m_Context.run_one_for(std::chrono::milliseconds(10));
    m_Context.restart();
    return IsDone();
  }
  static constexpr std::chrono::seconds StepTimeout{2};
  unsigned readiness() const {
    http::RequestMessage Message;
    Message.m_Method = "GET";
    Message.m_Target = "/readyz";
    return call(m_ReadinessPort, Message).m_Status;
  }
  static http::RequestMessage request(const std::string &Target,
                                      const std::string &Key = "key") {
    static int Next = 1;
    http::RequestMessage Out;
    Out.m_Method = "POST";
    Out.m_Target = Target;
    Out.m_Headers = {{"Host", "h"},
                     {"Attempt-Id", "a" + std::to_string(Next++)},
                     {"Deadline-Ms", "2000"},
                     {"Tenant", "forged"}};
    if (!Key.empty())
      Out.m_Headers.set("Api-Key", Key);
    Out.m_Body = "body";
    return Out;
  }
  Reply send(const http::RequestMessage &Message) {
    return call(m_CallerPort, Message);
  }
  std::size_t requestCount() const {
    std::size_t Sum = 0;
    for (const auto &Each : m_Targets)
      Sum += Each->requests().size();
    return Sum;
  }
};

} // namespace yardrill::tests

#endif
