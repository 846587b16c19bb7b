//===-- DecisionCore.h - Deterministic state machine of an instance -------===//
//
// Uses no clock, socket, lock or random source of its own: the time and the
// seed come in with the events, so that a recorded trace replays to the same
// actions (brief, "How we want it proved").
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

/// Owns the scheduling state of one instance: its pools, open requests and
/// identities. Not thread-safe; LibInstance calls it on the decision thread.
class DecisionCore {
public:
  /// Handles one event. \returns the actions to carry out, in order.
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
  /// Runs the operators' policy program on the request. A failure is counted,
  /// and the default decision is used instead, so that a failing program loses
  /// no request.
  void applyPolicy(RequestState &Request, const PoolScheduler &Pool);
  /// Refuses the request and forgets it. With a \p ValidUntil, the request
  /// stays open until RefusalSettled.
  void refuse(RequestState &Request, RefusalKind Kind,
              core::TimePoint ValidUntil = {});
  void forget(core::RequestId Id);

  // Requests with an identity. The runner of an identity is the request that
  // is run for it; repeats wait for the runner's response.
  void admitWithIdentity(RequestState &Request, core::TimePoint Now);
  void handleRepeat(RequestState &Request, IdentityRecord &Record,
                    core::TimePoint Now);
  void startRunner(RequestState &Request, IdentityRecord &Record,
                   core::TimePoint Now);
  void finishIdentity(const RequestState &Request, const ResponseEnded &End);
  /// Records the refusal of an identity's runner before dispatch, and refuses
  /// the waiting repeats with \p Kind. A later repeat may run if \p Kind states
  /// "not run".
  void abandonRunner(const RequestState &Request, RefusalKind Kind);
  /// Makes the first waiting repeat the runner if \p Request, whose caller
  /// disconnected, was the runner; otherwise removes \p Request from the
  /// waiting repeats.
  void promoteWaiting(const RequestState &Request, core::TimePoint Now);
  IdentityRecord *findRecord(const RequestState &Request);

  std::vector<Action> m_Actions;
  InstanceRef m_Self;
  std::uint64_t m_Seed = 0;
  core::Duration m_Retention{}; ///< Lifetime of the record of a key.
  bool m_IsStopping = false;
  std::uint32_t m_InstanceCount = 1;
  config::ConfigurationHandle m_Configuration;
  std::map<core::PoolName, std::unique_ptr<PoolScheduler>> m_Pools;
  std::unordered_map<core::RequestId, RequestState> m_Requests;
  std::unordered_map<core::AccountName, std::size_t> m_OpenByAccount;
  /// All leaving targets of the instance list, including those that no pool
  /// has yet.
  std::set<core::TargetName> m_LeavingTargets;
  IdentityTable m_Identities;
  std::unique_ptr<policy::PolicyProgram> m_Policy; ///< Null: no program.
  std::uint64_t m_PolicyFailures = 0;
};

} // namespace yardrill::decision

#endif
