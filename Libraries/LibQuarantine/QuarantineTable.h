//===-- QuarantineTable.h - Which requests end the targets that run them
//---===//
//
// Pure: time is handed in. When a target ends, every request that ran there may
// have ended it, and no instance sees more than its own. So what is kept is not
// a count but a set: for each content the runs of targets that ended under it.
// Sets can be put together in any order, twice and late, by messages and by the
// store alike, and give the same everywhere.
//
// A run is excused, for good, once the content was answered whole after it, or
// an operator lifted it. A content that three runs stand against is kept from
// all targets: one that ends targets never ends well, and any other one is
// under way at the end of three different targets only by chance.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBQUARANTINE_QUARANTINETABLE_H
#define YARDRILL_LIBQUARANTINE_QUARANTINETABLE_H

#include "LibCore/Time.h"
#include "LibQuarantine/ContentDigest.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace yardrill::quarantine {

/// routing::TargetIncarnation::hash().
using IncarnationHash = std::uint32_t;

/// That a run of a target ended while a request with that content was under
/// way there.
struct Observation {
  ContentDigest m_Content;
  IncarnationHash m_Incarnation = 0;
  bool m_IsCleared = false; ///< And that it says nothing any more.

  bool operator<(const Observation &Other) const {
    return std::tie(m_Content, m_Incarnation, m_IsCleared) <
           std::tie(Other.m_Content, Other.m_Incarnation, Other.m_IsCleared);
  }
};

class QuarantineTable {
public:
  /// Runs that must stand against a content.
  static constexpr std::size_t RunsToQuarantine = 3;
  /// From here on it is a suspect: an attempt under which another target ends
  /// is not sent on at once.
  static constexpr std::size_t RunsToSuspect = RunsToQuarantine - 1;
  /// Kept at one time; those that least stands against give way.
  static constexpr std::size_t MaxContents = 1024;
  /// For each content; excused ones give way.
  static constexpr std::size_t MaxIncarnations = 16;

  /// Called when a content is quarantined, or is not any more.
  using Hook = std::function<void(const ContentDigest &, bool IsQuarantined)>;
  explicit QuarantineTable(Hook Changed = nullptr)
      : m_Changed(std::move(Changed)) {}

  /// A target ended under it, at this instance.
  void noteTargetExit(const ContentDigest &Content, IncarnationHash Incarnation,
                      core::TimePoint Now);
  /// A target answered it whole, and went on.
  void noteSuccess(const ContentDigest &Content, core::TimePoint Now);
  /// What another instance or the store says.
  void merge(const Observation &Observed, core::TimePoint Now);

  /// Runs that stand against it.
  std::size_t incriminatingIncarnations(const ContentDigest &Content) const;
  /// Whether the run says nothing against it; also when it is not known.
  bool isCleared(const ContentDigest &Content,
                 IncarnationHash Incarnation) const;
  bool isSuspect(const ContentDigest &Content) const {
    return incriminatingIncarnations(Content) >= RunsToSuspect;
  }
  bool isQuarantined(const ContentDigest &Content) const {
    return incriminatingIncarnations(Content) >= RunsToQuarantine;
  }
  std::size_t quarantined() const { return m_Quarantined; }
  std::size_t size() const { return m_Entries.size(); }
  /// All that is known of a content; empty: nothing.
  std::vector<Observation> observations(const ContentDigest &Content) const;
  /// Contents that at least \p Least runs stand against, in order.
  std::vector<ContentDigest> suspectedContents(std::size_t Least) const;
  /// What was noted here since the last call, for the others to merge.
  std::vector<Observation> takeUpdates();

private:
  struct Entry {
    std::map<IncarnationHash, bool> m_Incarnations; ///< Whether it is excused.
    core::TimePoint m_ChangedAt{};

    std::size_t incriminatingIncarnations() const;
  };
  /// A content that was answered whole.
  struct Success {
    ContentDigest m_Content;
    core::TimePoint m_At{};
    bool m_IsSet = false;
  };
  /// Contents answered whole lately, each in the place of its digest; one that
  /// has the same place takes it.
  static constexpr std::size_t SuccessSlots = 1024;

  bool hasRecentSuccess(const ContentDigest &Content,
                        core::TimePoint Now) const;
  /// \returns whether it changed anything.
  bool apply(const Observation &Observed, core::TimePoint Now);
  void evictIfFull();
  void evictIfFull(Entry &Suspect) const;

  Hook m_Changed;
  std::unordered_map<ContentDigest, Entry> m_Entries;
  std::size_t m_Quarantined = 0;
  std::vector<Observation> m_Updates;
  std::array<Success, SuccessSlots> m_RecentSuccesses;
};

} // namespace yardrill::quarantine

#endif
