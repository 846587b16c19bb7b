//===-- ServedShare.h - Share of requests that were served ----------------===//
#ifndef YARDRILL_TESTS_SOAK_SERVEDSHARE_H
#define YARDRILL_TESTS_SOAK_SERVEDSHARE_H

#include "InvariantChecker.h"

#include <algorithm>
#include <cmath>

namespace yardrill::soak {

/// Counts requests and those of them that were served.
class ServedShare {
public:
  void add(bool IsServed) {
    ++m_Sent;
    m_Served += IsServed ? 1 : 0;
  }
  std::size_t sent() const { return m_Sent; }
  double share() const {
    return static_cast<double>(m_Served) / static_cast<double>(m_Sent);
  }
  /// Returns whether both are shares of enough requests, and this one is too
  /// small beside \p Other, see bounds::MinServedWhileSkewed.
  bool isTooSmallBeside(const ServedShare &Other) const {
    return std::min(m_Sent, Other.m_Sent) >= bounds::MinRequestsForShare &&
           share() < bounds::MinServedWhileSkewed * Other.share();
  }

  /// The same for few requests, with twice the standard error of \p Other.
  bool isClearlyTooSmallBeside(const ServedShare &Other) const {
    if (std::min(m_Sent, Other.m_Sent) < bounds::MinRequestsForClearShare)
      return false;
    double Share = Other.share();
    double Error =
        std::sqrt(Share * (1 - Share) / static_cast<double>(Other.m_Sent));
    return share() < bounds::MinServedWhileSkewed * (Share - 2 * Error);
  }

private:
  std::size_t m_Sent = 0;
  std::size_t m_Served = 0;
};

} // namespace yardrill::soak

#endif
