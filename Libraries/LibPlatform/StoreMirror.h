//===-- StoreMirror.h - Local copy of the store's entries -----------------===//
#ifndef YARDRILL_LIBPLATFORM_STOREMIRROR_H
#define YARDRILL_LIBPLATFORM_STOREMIRROR_H

#include "LibPlatform/KeyValueService.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yardrill::platform {

/// Local copy of the store's entries, updated from the store or from another
/// instance with a newer revision. Late, repeated and reordered updates change
/// nothing.
///
/// Another instance may report a change without its value. The new value is
/// then pending, and the older one stays in effect, until it is supplied.
class StoreMirror {
public:
  using Subscriber = std::function<void(const Entry &)>;
  using ReplacedCallback = std::function<void(Entry)>;

  /// Values of one key that were reported but have not arrived.
  struct PendingValue {
    Revision m_OldestRevision; ///< Lower bound for the oldest of them.
    Revision m_NewestRevision;

    bool operator==(const PendingValue &Other) const {
      return m_OldestRevision == Other.m_OldestRevision &&
             m_NewestRevision == Other.m_NewestRevision;
    }
  };
  using PendingValueMap = std::map<std::string, PendingValue>;

  /// \param MaxChanges number of changes kept for changesSince().
  explicit StoreMirror(std::size_t MaxChanges) : m_MaxChanges(MaxChanges) {}

  /// Calls \p Notify with each change, removals included, after it is applied.
  void subscribe(Subscriber Notify) {
    m_Subscribers.push_back(std::move(Notify));
  }

  /// Sets a function that receives each entry that was replaced or removed.
  void setReplacedCallback(ReplacedCallback Callback) {
    m_ReplacedCallback = std::move(Callback);
  }

  /// Sets a function that is called when updates have skipped changes, so that
  /// an entry may have come and gone unseen: with the key of such an entry, or
  /// with an empty one if any may have.
  void
  setSkippedCallback(std::function<void(const std::string &Key)> Callback) {
    m_SkippedCallback = std::move(Callback);
  }

  /// Applies a snapshot of all entries at revision \p At. Some may be newer, as
  /// a range is read in several pages. A snapshot older than revision() removes
  /// nothing. One of a newer era replaces everything, and its changes are
  /// marked as restored.
  void replaceAll(Revision At, const std::vector<Entry> &Content);
  /// Applies \p Changes, which are all those after revision() up to \p At.
  void apply(Revision At, const std::vector<Entry> &Changes);

  /// Applies a value newer than the current one of its key; ignores it unless a
  /// value of that key is pending.
  void supplyValue(const Entry &Value);

  /// Returns the revision up to which changes were applied; 0 before the first
  /// update.
  Revision revision() const { return m_Revision; }
  /// Returns the revision up to which no value is pending. Even while values
  /// change faster than they arrive, it grows with each that arrives.
  Revision completeRevision() const;
  /// Returns the pending values by key.
  const PendingValueMap &pendingValues() const { return m_PendingValues; }
  /// Returns the entry, or null when there is none.
  const Entry *find(const std::string &Key) const;
  /// Returns a snapshot of all entries; pending values are omitted.
  std::vector<Entry> content() const;
  /// Returns the newest change of each key after \p After, or none when some
  /// of these changes are no longer kept.
  std::optional<std::vector<Entry>> changesSince(Revision After) const;

private:
  /// Change of a key, without its value. changesSince() looks the value up, so
  /// that replaced values, which can be large, are neither kept nor sent.
  struct Change {
    std::string m_Key;
    Revision m_ModRevision;
  };

  void applyEntry(const Entry &Update);
  void markPending(const Entry &Update);
  bool isPending(const Entry &Update) const;
  void notifySkipped(const std::string &Key) const {
    if (m_SkippedCallback)
      m_SkippedCallback(Key);
  }
  /// Stores or removes an entry and notifies the subscribers.
  void store(const Entry &Update);
  /// Removes the entries that a snapshot read at \p At does not have.
  void removeAbsent(Revision At, const std::set<std::string> &Present);
  bool isPresent(const std::string &Key) const;
  /// Returns the entry of \p Key, without its value if that is pending.
  /// \pre isPresent(Key).
  Entry current(const std::string &Key) const;
  void recordChange(const Entry &Update);
  void notify(Entry Update) const;

  std::size_t m_MaxChanges;
  Revision m_Revision;
  /// Revision after which m_Changes has all changes.
  Revision m_HistoryStart;
  std::map<std::string, Entry> m_Entries;
  PendingValueMap m_PendingValues;
  std::deque<Change> m_Changes;
  bool m_IsRestoring = false; ///< During a snapshot of a newer era.
  std::vector<Subscriber> m_Subscribers;
  ReplacedCallback m_ReplacedCallback;
  std::function<void(const std::string &)> m_SkippedCallback;
};

} // namespace yardrill::platform

#endif
