//===-- EtcdGateway.h - Client of the etcd v3 JSON gateway ----------------===//
//
// Spec: etcd v3 API reference, "gRPC gateway" (HTTP/JSON mapping of the KV,
// Lease and Watch services). Integers travel as text, keys as base64.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBPLATFORM_ETCDGATEWAY_H
#define YARDRILL_LIBPLATFORM_ETCDGATEWAY_H

#include "LibCore/Time.h"
#include "LibPlatform/CallBudget.h"
#include "LibPlatform/KeyValueService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <vector>

namespace yardrill::http {
class ClientConnection;
} // namespace yardrill::http

namespace yardrill::platform {

struct EtcdGatewaySettings {
  std::vector<boost::asio::ip::tcp::endpoint> m_Addresses;
  core::Duration m_CallTimeout = std::chrono::seconds(2);
  double m_CallsPerSecond = 20;
  double m_CallBurst = 40;
  std::size_t m_WaitingCalls = 256;
};

struct EtcdGatewayCounters {
  std::uint64_t m_Calls = 0;
  std::uint64_t m_Failures = 0;
  std::uint64_t m_BudgetRefusals = 0;
};

class EtcdGateway final : public KeyValueService {
public:
  EtcdGateway(boost::asio::io_context &Context, EtcdGatewaySettings Settings);
  ~EtcdGateway() override;

  std::vector<Entry> readPrefix(const std::string &Prefix, CallClass Class,
                                boost::asio::yield_context Yield) override;
  std::optional<Entry> read(const std::string &Key, CallClass Class,
                            boost::asio::yield_context Yield) override;
  SwapResult compareAndSwap(const CompareAndSwap &Swap, CallClass Class,
                            boost::asio::yield_context Yield) override;
  LeaseId grantLease(std::chrono::seconds TimeToLive, CallClass Class,
                     boost::asio::yield_context Yield) override;
  bool keepAlive(LeaseId Lease, boost::asio::yield_context Yield) override;
  void revoke(LeaseId Lease, boost::asio::yield_context Yield) override;
  void watch(const std::string &Prefix, Revision After,
             const std::function<void(const std::vector<Entry> &)> &Notify,
             boost::asio::yield_context Yield) override;
  Revision lastRevision() const override { return m_LastRevision; }

  const EtcdGatewayCounters &counters() const { return m_Counters; }

private:
  boost::json::value call(const char *Path, const boost::json::value &Body,
                          CallClass Class, boost::asio::yield_context Yield);
  boost::json::value exchange(const char *Path, const boost::json::value &Body,
                              boost::asio::yield_context Yield);
  std::unique_ptr<http::ClientConnection>
  connect(boost::asio::yield_context Yield);
  std::vector<Entry> readRange(const boost::json::value &Body, CallClass Class,
                               boost::asio::yield_context Yield);
  void noteRevision(const boost::json::value &Answer);

  boost::asio::io_context &m_Context;
  EtcdGatewaySettings m_Settings;
  CallBudget m_Budget;
  EtcdGatewayCounters m_Counters;
  std::size_t m_Waiting = 0;
  std::size_t m_NextAddress = 0;
  Revision m_LastRevision;
  std::vector<std::unique_ptr<http::ClientConnection>> m_Idle;
};

} // namespace yardrill::platform

#endif
