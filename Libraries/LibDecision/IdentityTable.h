//===-- IdentityTable.h - Requests that may run only once -----------------===//
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

enum class IdentityState : std::uint8_t {
  Claiming, ///< The platform is being asked; nothing was dispatched.
  Running,  ///< Waiting here or dispatched.
  Stored,   ///< Ran; the answer is stored under the runner's id.
  Ended,    ///< Ran, or may have; no answer to give.
  NotRun,   ///< Never dispatched; this home may still run it.
};

struct IdentityRecord {
  IdentityKind m_Kind = IdentityKind::Key;
  std::uint64_t m_BodyDigest = 0;
  IdentityState m_State = IdentityState::Claiming;
  core::RequestId m_Runner;
  std::vector<core::RequestId> m_Waiting; ///< Repeats that joined the runner.
  RefusalKind m_FinalRefusal =
      RefusalKind::ResponseNotStored; ///< Answer when Ended.
  /// A claim of ours may stand at the platform although we never heard so.
  bool m_MayHoldClaim = false;
  core::TimePoint m_ForgetAt{};
};

/// A bounded table of identities whose home is this instance. A record is
/// forgotten only when its identity can no longer be accepted.
class IdentityTable {
public:
  void setCapacity(std::size_t Capacity) { m_Capacity = Capacity; }
  bool isFull() const { return m_Records.size() >= m_Capacity; }
  std::size_t size() const { return m_Records.size(); }

  IdentityRecord *find(const std::string &Name);
  IdentityRecord &insert(const Identity &Id, core::RequestId Runner,
                         core::TimePoint ForgetAt);
  void erase(const std::string &Name);
  /// Forgets records past their time that nothing waits for.
  /// \returns runners whose kept answers are no longer needed.
  std::vector<core::RequestId> expire(core::TimePoint Now);

private:
  std::unordered_map<std::string, IdentityRecord> m_Records;
  std::set<std::pair<core::TimePoint, std::string>> m_Expiries;
  std::size_t m_Capacity = 0;
};

} // namespace yardrill::decision

#endif
