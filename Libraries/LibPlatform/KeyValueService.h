//===-- KeyValueService.h - Interface of the platform's store -------------===//
#ifndef YARDRILL_LIBPLATFORM_KEYVALUESERVICE_H
#define YARDRILL_LIBPLATFORM_KEYVALUESERVICE_H

#include "LibPlatform/Revision.h"

#include <boost/asio/spawn.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace yardrill::platform {

using LeaseId = core::StrongType<struct LeaseIdTag, std::int64_t>;

/// A key of the store with its value, or a change of it.
struct Entry {
  std::string m_Key;
  std::string m_Value;
  Revision m_ModRevision;   ///< Revision of the key's last change.
  bool m_IsDeleted = false; ///< Set in changes only.
  /// The key has a value at this revision, but m_Value is empty. Set only in
  /// entries that another instance sent.
  bool m_IsValueOmitted = false;
  /// The change was found when the store had come back from an older copy: it
  /// may be a state that was replaced since, and is written again if so. Set
  /// only for subscribers of a StoreMirror.
  bool m_IsRestored = false;
};

struct Put {
  std::string m_Key;
  std::string m_Value;
  std::optional<LeaseId> m_Lease; ///< The key is removed when the lease ends.
};

/// Writes that take effect together if a key has the expected revision.
struct CompareAndSwap {
  std::string m_Key;
  Revision m_Expected; ///< 0: the key must be absent.
  std::vector<Put> m_Puts;
};

struct SwapResult {
  bool m_IsSwapped = false;
  Revision m_Revision; ///< Revision of the store after a successful swap.
  /// Current entry after a failed swap; none when the key is absent.
  std::optional<Entry> m_Current;
};

/// Priority of a call: near the rate limit only control calls are made.
enum class CallClass {
  Control, ///< Configuration, leadership and other state of the instances.
  Claim    ///< Claims of keyed requests.
};

/// Key-value store of the platform, with leases and watches. Calls suspend the
/// calling coroutine and throw core::Error: after BudgetSpent, Refused and
/// Unavailable nothing was done; after OutcomeUnknown a write may still take
/// effect, even later.
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
  /// Returns false when the lease has ended.
  virtual bool keepAlive(LeaseId Lease, boost::asio::yield_context Yield) = 0;
  virtual void revoke(LeaseId Lease, boost::asio::yield_context Yield) = 0;
  /// Calls \p Notify with the changes after \p After, in order, until it
  /// returns false.
  /// \throws core::Error when the watch fails; of kind Conflict when the store
  /// no longer has all changes after \p After, or has another era.
  virtual void
  watch(const std::string &Prefix, Revision After,
        const std::function<bool(const std::vector<Entry> &)> &Notify,
        boost::asio::yield_context Yield) = 0;
  /// Returns, right after read() and readPrefix() and in watch()'s Notify, the
  /// revision up to which their entries have all changes. Never that of another
  /// call: a response to a write may overtake an older response to a read.
  virtual Revision lastRevision() const = 0;
};

} // namespace yardrill::platform

#endif
