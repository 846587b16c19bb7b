//===-- OverloadSettings.h - Decisions while slots are scarce -------------===//
#ifndef YARDRILL_LIBROUTING_OVERLOADSETTINGS_H
#define YARDRILL_LIBROUTING_OVERLOADSETTINGS_H

#include <string>
#include <vector>

namespace yardrill::routing {

/// Switches for the decisions that apply while a pool has fewer free slots than
/// requests. Each takes effect only where the configuration calls for it, which
/// its class documents.
struct OverloadSettings {
  /// Bounds the slots that lower tiers hold (TierConcurrency).
  bool m_TierConcurrency = true;
  /// Hands a freed slot to the group peer with the most urgent waiting request
  /// (SlotHandover).
  bool m_SlotHandover = true;
  /// Refuses requests that can't begin in time as soon as that is known
  /// (WaitPrediction).
  bool m_WaitPrediction = true;
  /// Spreads the return of refused callers over the capacity that comes free
  /// (ReturnSchedule).
  bool m_ReturnSchedule = true;
  /// Serves the client accounts of a tier by their share of slot time
  /// (AccountFairness).
  bool m_AccountFairness = true;
  /// Lends free slots to instances of other groups (SlotLending).
  bool m_SlotLending = true;

  /// Returns the switches' names in settings, for instance `slot_handover`.
  static std::vector<std::string> switchNames();
  /// Returns these names as a list for messages to operators.
  static std::string switchList();
  /// Turns the switch \p Name on or off. \returns false if there is none.
  bool setSwitch(const std::string &Name, bool IsOn);
  /// Returns the names of the switches that are off, separated by commas.
  std::string switchesOff() const;
};

} // namespace yardrill::routing

#endif
