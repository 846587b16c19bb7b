//===-- CallerResult.h - How the requests of simulated callers ended ------===//
#ifndef YARDRILL_TESTS_SUPPORT_CALLERRESULT_H
#define YARDRILL_TESTS_SUPPORT_CALLERRESULT_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace yardrill::tests {

/// Outcomes of a set of requests. Each request ends in exactly one of those
/// that ended() adds up, whether it returned or not.
struct CallerOutcomes {
  std::size_t m_Sent = 0; ///< First arrivals.
  /// First event within the objective since the first arrival.
  std::size_t m_InTime = 0;
  std::size_t m_Late = 0;    ///< First event after that, within the deadline.
  std::size_t m_Expired = 0; ///< First event after the deadline.
  std::size_t m_Refused = 0; ///< Refused without a later response.
  std::size_t m_Lost = 0;    ///< Its instance exited.
  std::size_t m_Unfinished = 0; ///< Not ended when the simulation ended.

  std::size_t m_Returned = 0;
  std::size_t m_ReturnersServed = 0; ///< Returned, and in time or late.
  std::size_t m_RefusedTwice = 0;
  /// Times that a request was sent to a further target, or refused after it
  /// was sent.
  std::size_t m_BrokenPromises = 0;
  /// Times from an arrival to its refusal, as shares of the objective.
  std::vector<double> m_RefusalTimes;

  std::size_t ended() const {
    return m_InTime + m_Late + m_Expired + m_Refused + m_Lost + m_Unfinished;
  }
  /// Returns a number of requests as share of all sent; 0 if none was.
  double share(std::size_t Count) const;
  double inTimeShare() const { return share(m_InTime); }
  double servedShare() const { return share(m_InTime + m_Late); }
  double refusedShare() const { return share(m_Refused); }
  /// Returns the share of the returned requests that were served.
  double returnersServedShare() const;
  /// Returns a quantile of the times until a refusal, as share of the
  /// objective; 0 if none was refused.
  double refusalTime(double Quantile) const;
  CallerOutcomes &operator+=(const CallerOutcomes &Other);
};

/// Outcomes of the requests of one kind.
struct KindResult {
  std::string m_Kind;
  CallerOutcomes m_All;
  std::map<core::AccountName, CallerOutcomes> m_Accounts;
};

/// Outcome of the first attempt of a request that an instance has read.
struct FirstRead {
  std::size_t m_Kind = 0;       ///< Index of its kind.
  core::Duration m_ArrivedAt{}; ///< Of the request, since the start.
  bool m_IsServed = false;      ///< Within the deadline.
  core::Duration m_Time{};      ///< From the arrival to the first event.
};

struct CallerResult {
  std::vector<KindResult> m_Kinds;
  /// In the order in which they ended.
  std::vector<FirstRead> m_FirstReads;

  /// Returns the share of the requests of a kind that arrived in a half-open
  /// interval and were served at the first attempt that was read; 0 if none was
  /// read.
  double servedAtFirstRead(std::size_t Kind, core::Duration From,
                           core::Duration Until) const;
  /// Returns a quantile of the times to the first event of those served in that
  /// interval, of all kinds; 0 if none was.
  core::Duration firstReadTime(double Quantile, core::Duration From,
                               core::Duration Until) const;

  /// Returns the result of a kind, which must exist.
  const KindResult &kind(const std::string &Name) const;
  CallerOutcomes sum() const;
};

} // namespace yardrill::tests

#endif
