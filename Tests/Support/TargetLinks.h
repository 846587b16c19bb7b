//===-- TargetLinks.h - Links of one gateway to all targets ---------------===//
#ifndef YARDRILL_TESTS_SUPPORT_TARGETLINKS_H
#define YARDRILL_TESTS_SUPPORT_TARGETLINKS_H

#include "LoopbackProxy.h"
#include "PlatformDialect.h"
#include "Process.h"

#include <map>
#include <memory>
#include <mutex>

namespace yardrill::tests {

/// Dialect of one gateway that leads its connections to targets through
/// proxies, so that this gateway alone can lose its path to them.
class TargetLinks final : public gateway::Dialect {
public:
  /// \param Context event loop of the proxies.
  explicit TargetLinks(boost::asio::io_context &Context) : m_Context(Context) {}

  /// Applies a mode to the links of all targets. To be called on the thread of
  /// the proxies.
  void setMode(ProxyMode Mode) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    for (const auto &[Port, Proxy] : m_Proxies)
      Proxy->setMode(Mode);
  }
  /// Resets all open connections. To be called on the thread of the proxies.
  void resetAll() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    for (const auto &[Port, Proxy] : m_Proxies)
      Proxy->resetAll();
  }

  gateway::RequestDescription
  describe(const http::RequestMessage &Request) const override {
    return m_Dialect.describe(Request);
  }
  void prepare(http::RequestMessage &Request,
               const gateway::ForwardDescription &Forward) const override {
    m_Dialect.prepare(Request, Forward);
  }
  void restore(http::RequestMessage &Request,
               const gateway::RequestDescription &Original) const override {
    m_Dialect.restore(Request, Original);
  }
  void prepare(http::ResponseHead &Response,
               const gateway::RequestDescription &To) const override {
    m_Dialect.prepare(Response, To);
  }
  gateway::ResponseDescription
  describe(const http::ResponseHead &Head) const override {
    return m_Dialect.describe(Head);
  }
  gateway::StoreUpdate read(const platform::Entry &Change) const override {
    gateway::StoreUpdate Out = m_Dialect.read(Change);
    if (auto *Update = std::get_if<gateway::TargetUpdate>(&Out)) {
      config::Endpoint &Address = Update->m_Target.m_Address;
      Address.m_Port =
          static_cast<std::uint16_t>(proxyTo(Address.m_Port).port());
    }
    return Out;
  }
  platform::Put write(const core::PoolName &Pool,
                      const rollout::Status &Status) const override {
    return m_Dialect.write(Pool, Status);
  }
  std::optional<core::TargetName>
  targetOf(const platform::Entry &Change) const override {
    return m_Dialect.targetOf(Change);
  }

private:
  LoopbackProxy &proxyTo(int Port) const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto &Proxy = m_Proxies[Port];
    if (!Proxy)
      Proxy = std::make_unique<LoopbackProxy>(m_Context, freePort(), Port);
    return *Proxy;
  }

  boost::asio::io_context &m_Context;
  platform::PlatformDialect m_Dialect;
  mutable std::mutex m_Mutex;
  mutable std::map<int, std::unique_ptr<LoopbackProxy>> m_Proxies;
};

} // namespace yardrill::tests

#endif
