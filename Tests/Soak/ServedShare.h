//===-- ServedShare.h - Share of requests that were served ----------------===//
#ifndef YARDRILL_TESTS_SOAK_SERVEDSHARE_H
#define YARDRILL_TESTS_SOAK_SERVEDSHARE_H

#include "InvariantChecker.h"

#include <algorithm>

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

private:
  std::size_t m_Sent = 0;
  std::size_t m_Served = 0;
};

} // namespace yardrill::soak

#endif
