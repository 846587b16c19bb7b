//===-- DecisionCore.h - The deterministic machine behind all decisions ---===//
//
// No clock, socket, lock or randomness of its own: the time and the seed come
// in with the events, so a recorded trace replays to the same actions
// (brief, "How we want it proved").
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBDECISION_DECISIONCORE_H
#define YARDRILL_LIBDECISION_DECISIONCORE_H

#include "LibDecision/Action.h"
#include "LibDecision/Event.h"
#include "LibDecision/IdentityTable.h"
#include "LibDecision/PoolScheduler.h"
#include "LibDecision/RequestState.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace yardrill::decision {

/// Owns all decision state of one instance. Single-threaded.
class DecisionCore {
public:
  /// Takes one event; \returns what has to be done, in order.
  std::vector<Action> handle(const Event &What, core::TimePoint Now);

  std::size_t openRequests() const { return m_Requests.size(); }
  std::size_t identities() const { return m_Identities.size(); }
  const config::ConfigurationHandle &configuration() const {
    return m_Configuration;
  }
  std::uint64_t policyFailures() const { return m_PolicyFailures; }
  const std::map<core::PoolName, std::unique_ptr<PoolScheduler>> &
  pools() const {
    return m_Pools;
  }

private:
  void on(const InstanceStarted &What, core::TimePoint Now);
  void on(const ConfigurationAccepted &What, core::TimePoint Now);
  void on(const RequestArrived &What, core::TimePoint Now);
  void on(const CallerDisconnected &What, core::TimePoint Now);
  void on(const ConnectFailed &What, core::TimePoint Now);
  void on(const ResponseStarted &What, core::TimePoint Now);
  void on(const ResponseEnded &What, core::TimePoint Now);
  void on(const RefusalSettled &What, core::TimePoint Now);
  void on(const ClaimCompleted &What, core::TimePoint Now);
  void on(const TargetStateChanged &What, core::TimePoint Now);
  void on(const InstanceCountChanged &What, core::TimePoint Now);
  void on(const TimePassed &What, core::TimePoint Now);
  void on(const StopRequested &What, core::TimePoint Now);
  void on(const ThresholdCommand &What, core::TimePoint Now);
  void on(const ThresholdReport &What, core::TimePoint Now);
  void on(const ThresholdRecordRead &What, core::TimePoint Now);
  void on(const ThresholdRecordWritten &What, core::TimePoint Now);
  void on(const MemberGone &What, core::TimePoint Now);

  void emit(Action What) { m_Actions.push_back(std::move(What)); }
  PoolScheduler *findPool(const core::PoolName &Name);
  void addPool(const config::Pool &Pool);
  void admit(RequestState &Request, core::TimePoint Now);
  /// Asks the operators' program; a failing one is counted and the default
  /// used, so that it never loses a request.
  void applyPolicy(RequestState &Request, const PoolScheduler &Pool);
  /// Answers the caller and forgets the request; with a \p ValidUntil the
  /// request is kept until RefusalSettled.
  void refuse(RequestState &Request, RefusalKind Kind,
              core::TimePoint ValidUntil = {});
  void forget(core::RequestId Id);

  // Requests with an identity.
  void admitWithIdentity(RequestState &Request, core::TimePoint Now);
  void handleRepeat(RequestState &Request, IdentityRecord &Record,
                    core::TimePoint Now);
  void startRunner(RequestState &Request, IdentityRecord &Record,
                   core::TimePoint Now);
  void finishIdentity(const RequestState &Request, const ResponseEnded &End);
  /// The runner was given up before dispatch: \p Kind answers those who wait.
  void abandonRunner(const RequestState &Request, RefusalKind Kind);
  /// The runner's caller left: the next who waits runs instead.
  void promoteWaiting(const RequestState &Request, core::TimePoint Now);
  IdentityRecord *findRecord(const RequestState &Request);

  std::vector<Action> m_Actions;
  InstanceRef m_Self;
  std::uint64_t m_Seed = 0;
  core::Duration m_Retention{};
  bool m_IsStopping = false;
  std::uint32_t m_InstanceCount = 1;
  config::ConfigurationHandle m_Configuration;
  std::map<core::PoolName, std::unique_ptr<PoolScheduler>> m_Pools;
  std::unordered_map<core::RequestId, RequestState> m_Requests;
  std::unordered_map<core::AccountName, std::size_t> m_OpenByAccount;
  /// By the list, whether or not a pool has them yet.
  std::set<core::TargetName> m_LeavingTargets;
  IdentityTable m_Identities;
  std::unique_ptr<policy::PolicyProgram> m_Policy; ///< Null: none published.
  std::uint64_t m_PolicyFailures = 0;
};

} // namespace yardrill::decision

#endif
