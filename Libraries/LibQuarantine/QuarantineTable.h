//===-- QuarantineTable.h - Contents that make targets exit ---------------===//
//
// When a target exits, each request that ran there may be the cause, and an
// instance sees only its own requests. The table therefore keeps a set instead
// of a count: for each content, the incarnations of targets that exited while
// it ran there. Sets merge in any order, repeatedly and late, whether they come
// from messages or from the store, and give the same result at all instances.
//
// An incarnation is cleared for good if the content was answered successfully
// after its exit or shortly before, or if an operator cleared the content.
// Otherwise it incriminates the content. A content with three incriminating
// incarnations is quarantined: one that makes targets exit never succeeds, and
// any other is running at the exit of three targets only by coincidence.
//
// A request has several contents: itself and each shared part of its prompt. A
// part that ran beside a quarantined content is not incriminated by the exits
// that this one explains. Of two contents the one with more incriminating
// incarnations explains the exits of both; with equally many, neither does. All
// of that is derived from the sets, so that it doesn't depend on their order
// either.
//
// Uses no clock: the time is a parameter.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBQUARANTINE_QUARANTINETABLE_H
#define YARDRILL_LIBQUARANTINE_QUARANTINETABLE_H

#include "LibCore/Time.h"
#include "LibQuarantine/ContentDigest.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace yardrill::quarantine {

/// Hash of an incarnation of a target: routing::TargetIncarnation::hash().
using IncarnationHash = std::uint32_t;

/// States that an incarnation of a target exited while a request with this
/// content was running there.
struct Observation {
  ContentDigest m_Content;
  IncarnationHash m_Incarnation = 0;
  bool m_IsCleared = false; ///< Whether the exit no longer incriminates.

  bool operator<(const Observation &Other) const {
    return std::tie(m_Content, m_Incarnation, m_IsCleared) <
           std::tie(Other.m_Content, Other.m_Incarnation, Other.m_IsCleared);
  }
};

/// Bounded table of contents and the exits that incriminate them. Gossip keeps
/// the tables of all instances in sync.
class QuarantineTable {
public:
  /// Incriminating incarnations from which a content is quarantined.
  static constexpr std::size_t IncarnationsToQuarantine = 3;
  /// Incriminating incarnations from which a content is suspect: an attempt
  /// that ran at an exiting target is not retried at once.
  static constexpr std::size_t IncarnationsToSuspect =
      IncarnationsToQuarantine - 1;
  /// Limit on the contents in the table. Those with the fewest incriminating
  /// incarnations are evicted, the longest unchanged first.
  static constexpr std::size_t MaxContents = 4096;
  /// Limit on the incarnations of one content. Cleared ones are evicted; if
  /// there is none, new ones are ignored.
  static constexpr std::size_t MaxIncarnations = 16;

  /// Called when a content is quarantined or released.
  using Hook = std::function<void(const ContentDigest &, bool IsQuarantined)>;
  explicit QuarantineTable(Hook Changed = nullptr)
      : m_Changed(std::move(Changed)) {}

  /// Records that a target exited while this instance ran the content there.
  void noteTargetExit(const ContentDigest &Content, IncarnationHash Incarnation,
                      core::TimePoint Now);
  /// Records that a target answered the content successfully.
  void noteSuccess(const ContentDigest &Content, core::TimePoint Now);
  /// Merges an observation of another instance or from the store.
  void merge(const Observation &Observed, core::TimePoint Now);

  /// Returns the number of incarnations that incriminate the content. Those
  /// that another content explains don't incriminate a part that is not
  /// quarantined.
  std::size_t incriminatingIncarnations(const ContentDigest &Content) const;
  /// Whether the incarnation does not incriminate the content, also because it
  /// is unknown.
  bool isCleared(const ContentDigest &Content,
                 IncarnationHash Incarnation) const;
  bool isSuspect(const ContentDigest &Content) const {
    return incriminatingIncarnations(Content) >= IncarnationsToSuspect;
  }
  bool isQuarantined(const ContentDigest &Content) const {
    return m_Quarantined.count(Content) != 0;
  }
  /// Whether the quarantined ones of \p Contents are parts whose exits other
  /// quarantined contents would explain as well, so that a request with these
  /// would tell them apart.
  bool isDoubtful(const std::vector<ContentDigest> &Contents) const;
  /// Returns the time of the last change of the content's incarnations; none if
  /// it is not in the table.
  std::optional<core::TimePoint> changedAt(const ContentDigest &Content) const;
  std::size_t quarantined() const { return m_Quarantined.size(); }
  std::size_t size() const { return m_Entries.size(); }
  /// Returns all observations of a content, cleared ones included.
  std::vector<Observation> observations(const ContentDigest &Content) const;
  /// Returns the contents with at least \p MinIncarnations incriminating
  /// incarnations, in ascending order of digest.
  std::vector<ContentDigest>
  suspectedContents(std::size_t MinIncarnations) const;
  /// Returns the changes since the last call that originate at this instance,
  /// for other instances to merge. Merged observations are changes only if a
  /// success at this instance cleared them.
  std::vector<Observation> takeUpdates();

private:
  using Incarnations = std::set<IncarnationHash>;
  struct Entry {
    /// Maps each incarnation to whether it is cleared.
    std::map<IncarnationHash, bool> m_Incarnations;
    core::TimePoint m_ChangedAt{};

    std::size_t uncleared() const;
    /// Returns how many uncleared incarnations \p Explained doesn't have.
    std::size_t unexplained(const Incarnations &Explained) const;
    void addUnclearedTo(Incarnations &Sum) const;
  };
  using Weight = std::tuple<std::size_t, core::TimePoint, ContentDigest>;
  /// The last success of a content.
  struct Success {
    ContentDigest m_Content;
    core::TimePoint m_At{};
    bool m_IsSet = false;
  };
  /// Size of the cache of recent successes. It is direct-mapped: a digest
  /// replaces another one of the same slot.
  static constexpr std::size_t SuccessSlots = 4096;

  bool hasRecentSuccess(const ContentDigest &Content,
                        core::TimePoint Now) const;
  /// Applies an observation. \returns whether it changed the table.
  bool apply(const Observation &Observed, core::TimePoint Now);
  /// Changes the incarnations of an entry. \returns whether it did.
  bool change(Entry &Suspect, const Observation &Observed) const;
  static Weight weightOf(const ContentDigest &Content, const Entry &Of) {
    return {Of.uncleared(), Of.m_ChangedAt, Content};
  }
  /// Derives which contents are quarantined, and reports the changes.
  void updateVerdicts();
  void evictIfFull();
  void evictIfFull(Entry &Suspect) const;

  Hook m_Changed;
  std::unordered_map<ContentDigest, Entry> m_Entries;
  std::set<Weight> m_ByWeight; ///< All entries, the next to be evicted first.
  std::set<ContentDigest> m_Quarantined;
  Incarnations m_Explained; ///< Uncleared ones of all quarantined contents.
  std::vector<Observation> m_Updates;
  std::vector<Success> m_RecentSuccesses = std::vector<Success>(SuccessSlots);
};

} // namespace yardrill::quarantine

#endif
