//===-- Member.h - One instance's part in what all know of bad requests ---===//
//
// Pure: time is handed in, and what is to be sent comes out through hooks. What
// an instance sees of targets that end goes to all others at once, several
// times, since datagrams are lost. What stands against a content belongs into
// the store, where it outlasts a restart of all instances; until it stands
// there, every instance goes on telling a few others of it.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBQUARANTINE_MEMBER_H
#define YARDRILL_LIBQUARANTINE_MEMBER_H

#include "LibQuarantine/QuarantineBook.h"

#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace yardrill::quarantine {

struct MemberHooks {
  /// Sends to all other instances; any of it may be lost.
  std::function<void(const std::vector<Observation> &)> m_TellAll;
  /// Sends to a few others, other ones each time.
  std::function<void(const std::vector<Observation> &)> m_TellSome;
  /// A content is quarantined, or is not any more.
  QuarantineBook::Hook m_Changed;
};

class Member {
public:
  explicit Member(MemberHooks Hooks)
      : m_Hooks(std::move(Hooks)), m_Book(m_Hooks.m_Changed) {}

  // What is seen here, as in QuarantineBook.
  void noteTargetExit(const ContentDigest &Content, RunHash Run,
                      core::TimePoint Now);
  void noteWhole(const ContentDigest &Content, core::TimePoint Now);
  /// Takes what another instance tells.
  void merge(const std::vector<Observation> &Seen, core::TimePoint Now);
  /// Takes what the store holds. \returns false when it can't be read.
  bool takeRecord(const std::string &Text, core::TimePoint Now);
  /// What the store should hold.
  std::string recordText() const;
  /// Tells again what is due. To be called a few times a second.
  void upkeep(core::TimePoint Now);

  const QuarantineBook &book() const { return m_Book; }

private:
  /// Observations on their way to all others.
  struct Telling {
    std::vector<Observation> m_Seen;
    std::size_t m_Times = 0; ///< Told again so far.
    core::TimePoint m_NextAt{};
  };

  void tellNews(core::TimePoint Now);
  void tellAgain(core::TimePoint Now);
  void tellUnrecorded(core::TimePoint Now);

  MemberHooks m_Hooks;
  QuarantineBook m_Book;
  std::set<Observation> m_Recorded; ///< In the store's entry.
  std::deque<Telling> m_Telling;
  core::TimePoint m_ToldSomeAt{};
};

} // namespace yardrill::quarantine

#endif
