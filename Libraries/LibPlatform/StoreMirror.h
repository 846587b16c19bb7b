//===-- StoreMirror.h - A copy of the store that never goes back ----------===//
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

/// What the store held at one revision, fed by the store itself or by another
/// instance that is further on. Answers that come late, twice or out of order
/// change nothing.
///
/// Another instance may tell of a change without its value (a detached entry).
/// The older value then stays in force, and the newer one is wanted, until it
/// is supplied.
class StoreMirror {
public:
  using Subscriber = std::function<void(const Entry &)>;
  using ReplacedCallback = std::function<void(Entry)>;

  /// Values of one key that are not here.
  struct PendingValue {
    Revision m_OldestRevision; ///< The oldest of them is not older than this.
    Revision m_NewestRevision;

    bool operator==(const PendingValue &Other) const {
      return m_OldestRevision == Other.m_OldestRevision &&
             m_NewestRevision == Other.m_NewestRevision;
    }
  };
  using PendingValueMap = std::map<std::string, PendingValue>;

  /// \param MaxChanges kept for changesSince().
  explicit StoreMirror(std::size_t MaxChanges) : m_MaxChanges(MaxChanges) {}

  /// \p Notify gets each change, removals included, in the order applied.
  void subscribe(Subscriber Notify) { m_Notify.push_back(std::move(Notify)); }

  /// \p Hook gets each entry that was just replaced or removed.
  void setReplacedCallback(ReplacedCallback Callback) {
    m_Replaced = std::move(Callback);
  }

  /// Takes the whole content as of \p At. Entries may be newer than that: a
  /// range is read in several pages.
  void replaceAll(Revision At, const std::vector<Entry> &Content);
  /// Takes all changes after revision() up to \p At.
  void apply(Revision At, const std::vector<Entry> &Changes);

  /// Takes a value that was wanted, or a newer one of the same key.
  void supplyValue(const Entry &Value);

  /// 0: nothing was ever taken in.
  Revision revision() const { return m_Revision; }
  /// Up to which nothing is wanted. While values change faster than they
  /// arrive it grows with each that does.
  Revision completeRevision() const;
  /// By key.
  const PendingValueMap &pendingValues() const { return m_PendingValues; }
  /// \returns null when the key is not here.
  const Entry *find(const std::string &Key) const;
  /// All entries; those that are wanted, detached.
  std::vector<Entry> content() const;
  /// The newest change of each key. \returns none when some of the changes are
  /// no longer kept.
  std::optional<std::vector<Entry>> changesSince(Revision After) const;

private:
  /// That a key changed. Its value is looked up when it is asked for: values
  /// that newer ones replaced are neither kept nor passed on. Twenty versions
  /// of half a megabyte cost one that missed them 0.5 MB in place of 10.
  struct Change {
    std::string m_Key;
    Revision m_ModRevision;
  };

  void applyEntry(const Entry &Update);
  void markPending(const Entry &Update);
  bool isPending(const Entry &Update) const;
  /// Puts or removes, and tells the subscribers.
  void store(const Entry &Update);
  /// Removes what is missing in a content read at \p At.
  void removeAbsent(Revision At, const std::set<std::string> &Present);
  bool isPresent(const std::string &Key) const;
  /// \pre isPresent(Key).
  Entry current(const std::string &Key) const;
  void recordChange(const Entry &Update);

  std::size_t m_MaxChanges;
  Revision m_Revision;
  /// Changes after this revision are all in m_Changes.
  Revision m_HistoryStart;
  std::map<std::string, Entry> m_Entries;
  PendingValueMap m_PendingValues;
  std::deque<Change> m_Changes;
  std::vector<Subscriber> m_Notify;
  ReplacedCallback m_Replaced;
};

} // namespace yardrill::platform

#endif
