//===-- QuotaProtocol.h - Asks owners of quotas, and answers for this one
//-----===//
#ifndef YARDRILL_LIBGATEWAY_QUOTAPROTOCOL_H
#define YARDRILL_LIBGATEWAY_QUOTAPROTOCOL_H

#include "LibCore/Time.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerMessage.h"
#include "LibRouting/DistributedQuota.h"

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace yardrill::gateway {

class QuotaProtocol {
public:
  using Sender =
      std::function<void(const config::Endpoint &, const peer::PeerBody &)>;
  /// \returns false when the answer is not waited for any more.
  using ResponseHandler = std::function<bool(const routing::QuotaResponse &)>;

  QuotaProtocol(routing::DistributedQuota &Quota,
                metrics::MetricsRegistry &Metrics, Sender Send)
      : m_Quota(Quota), m_Metrics(Metrics), m_Send(std::move(Send)) {}

  /// Asks the owner that \p Draw has to ask next. Tokens of an answer that is
  /// not waited for any more are kept for others.
  void ask(const routing::QuotaAcquisition &Acquisition,
           ResponseHandler OnResponse, core::TimePoint Now);
  /// Takes a message of another instance.
  void handle(const config::Endpoint &From, const peer::QuotaRequest &Request,
              core::TimePoint Now);
  void handle(const config::Endpoint &From, const peer::QuotaResponse &Response,
              core::TimePoint Now);
  /// Asks other owners to take over their parts of debts made here. To be
  /// called after each decision of the book.
  void sendCharges(core::TimePoint Now);
  /// Gives back what was not used. To be called a few times a second.
  void upkeep(core::TimePoint Now);

private:
  routing::QuotaResponse responseTo(const peer::QuotaRequest &Request,
                                    core::TimePoint Now);
  /// \returns its number.
  std::uint64_t addPending(const config::Endpoint &Owner,
                           routing::AccountHash Account,
                           ResponseHandler OnResponse, core::TimePoint Now);

  struct Pending {
    config::Endpoint m_Owner;
    routing::AccountHash m_Account = 0;
    core::TimePoint m_SentAt{};
    ResponseHandler m_OnResponse;
  };

  routing::DistributedQuota &m_Quota;
  metrics::MetricsRegistry &m_Metrics;
  Sender m_Send;
  std::uint64_t m_NextRequestId = 1;
  std::unordered_map<std::uint64_t, Pending> m_Pending;
};

} // namespace yardrill::gateway

#endif
