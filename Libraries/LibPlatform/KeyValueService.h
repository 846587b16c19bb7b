//===-- KeyValueService.h - The platform's key-value service --------------===//
#ifndef YARDRILL_LIBPLATFORM_KEYVALUESERVICE_H
#define YARDRILL_LIBPLATFORM_KEYVALUESERVICE_H

#include "LibCore/StrongType.h"

#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace yardrill::platform {

using LeaseId = core::StrongType<struct LeaseIdTag, std::int64_t>;
/// Grows with every change of the store; 0 stands for "absent".
using Revision = core::StrongType<struct RevisionTag, std::int64_t>;

struct Entry {
  std::string m_Key;
  std::string m_Value;
  Revision m_ModRevision;
  bool m_IsDeleted = false; ///< Only in a watch.
  /// Only between instances: the key has a value of this revision, which is
  /// not here.
  bool m_IsValueOmitted = false;
};

struct Put {
  std::string m_Key;
  std::string m_Value;
  std::optional<LeaseId> m_Lease; ///< The key goes when the lease ends.
};

/// All puts, if the key was last modified at that revision.
struct CompareAndSwap {
  std::string m_Key;
  Revision m_Expected; ///< 0: the key must be absent.
  std::vector<Put> m_Puts;
};

struct SwapResult {
  bool m_IsSwapped = false;
  Revision m_Revision;            ///< Of the store after the swap.
  std::optional<Entry> m_Current; ///< What stands instead, when not swapped.
};

/// Matters more than its number of calls: which calls still go through when
/// the budget is nearly spent.
enum class CallClass { Control, Claim };

/// Calls wait in the calling coroutine. Every call throws core::Error:
/// BudgetSpent, Refused and Unavailable mean that nothing was done;
/// OutcomeUnknown, for a write, that it may take effect, even later.
class KeyValueService {
public:
  virtual ~KeyValueService() = default;

  virtual std::vector<Entry> readPrefix(const std::string &Prefix,
                                        CallClass Class,
                                        boost::asio::yield_context Yield) = 0;
  virtual std::optional<Entry> read(const std::string &Key, CallClass Class,
                                    boost::asio::yield_context Yield) = 0;
  virtual SwapResult compareAndSwap(const CompareAndSwap &Swap, CallClass Class,
                                    boost::asio::yield_context Yield) = 0;
  virtual LeaseId grantLease(std::chrono::seconds TimeToLive, CallClass Class,
                             boost::asio::yield_context Yield) = 0;
  /// \returns false when the lease has ended.
  virtual bool keepAlive(LeaseId Lease, boost::asio::yield_context Yield) = 0;
  virtual void revoke(LeaseId Lease, boost::asio::yield_context Yield) = 0;
  /// Calls \p Notify for the changes after \p After, in their order, until it
  /// returns false. Throws when the watch breaks.
  virtual void
  watch(const std::string &Prefix, Revision After,
        const std::function<bool(const std::vector<Entry> &)> &Notify,
        boost::asio::yield_context Yield) = 0;
  /// Revision of the store as of the last answer.
  virtual Revision lastRevision() const = 0;
};

} // namespace yardrill::platform

#endif
