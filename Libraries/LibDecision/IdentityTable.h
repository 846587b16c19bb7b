//===-- IdentityTable.h - Identities that an instance owns ----------------===//
#ifndef YARDRILL_LIBDECISION_IDENTITYTABLE_H
#define YARDRILL_LIBDECISION_IDENTITYTABLE_H

#include "LibCore/Time.h"
#include "LibDecision/Identity.h"
#include "LibDecision/Refusal.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace yardrill::decision {

/// Progress of the one execution of an identity.
enum class IdentityState : std::uint8_t {
  Claiming, ///< A claim is pending; nothing was dispatched.
  Running,  ///< The runner is waiting or dispatched.
  Stored,   ///< Ran; the response is stored under the runner's id.
  Ended,    ///< Ran, or may have run; no response is available.
  NotRun,   ///< Never dispatched; the owner may still run it.
};

/// State of one identity. Its runner is the request that is run for it.
struct IdentityRecord {
  IdentityKind m_Kind = IdentityKind::Key;
  std::uint64_t m_BodyDigest = 0;
  IdentityState m_State = IdentityState::Claiming;
  core::RequestId m_Runner;
  std::vector<core::RequestId> m_Waiting; ///< Repeats that wait for the runner.
  /// Refusal for repeats in the state Ended.
  RefusalKind m_FinalRefusal = RefusalKind::ResponseNotStored;
  /// Whether the platform may hold an unconfirmed claim of this instance.
  bool m_MayHoldClaim = false;
  core::TimePoint m_ForgetAt{};
};

/// Bounded table of the identities that this instance owns, used by
/// DecisionCore. Records expire with their retention or ticket and are never
/// evicted to make room, since a forgotten identity could run a second time.
class IdentityTable {
public:
  void setCapacity(std::size_t Capacity) { m_Capacity = Capacity; }
  bool isFull() const { return m_Records.size() >= m_Capacity; }
  std::size_t size() const { return m_Records.size(); }

  IdentityRecord *find(const std::string &Name);
  IdentityRecord &insert(const Identity &Id, core::RequestId Runner,
                         core::TimePoint ForgetAt);
  void erase(const std::string &Name);
  /// Removes expired records that are not in use.
  /// \returns the runners whose stored responses can be discarded.
  std::vector<core::RequestId> expire(core::TimePoint Now);

private:
  std::unordered_map<std::string, IdentityRecord> m_Records;
  std::set<std::pair<core::TimePoint, std::string>> m_Expiries;
  std::size_t m_Capacity = 0;
};

} // namespace yardrill::decision

#endif
