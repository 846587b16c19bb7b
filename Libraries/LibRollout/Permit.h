//===-- Permit.h - What an instance may send to a version under trial -----===//
#ifndef YARDRILL_LIBROLLOUT_PERMIT_H
#define YARDRILL_LIBROLLOUT_PERMIT_H

#include "LibRollout/Evidence.h"
#include "LibRollout/Order.h"

namespace yardrill::rollout {

/// Where new requests of a pool go.
enum class Traffic : std::uint8_t {
  Old,    ///< To the old version alone; so without a permit, too.
  Sample, ///< A share to the new one.
  New,    ///< To the new one alone.
};

/// How often each instance reports: rarer in a large fleet, since all report to
/// one.
constexpr core::Duration reportPeriod(std::size_t Instances) {
  return std::chrono::milliseconds(250 + Instances);
}
/// How often the coordinator looks at the evidence.
constexpr std::chrono::milliseconds EvaluationPeriod{200};

/// Given by the coordinator in answer to a report. It lapses by itself, so that
/// an instance that hears nothing sends nothing to the new version.
struct Permit {
  /// From the sending of the report that it answers. Three reports of a large
  /// fleet; a bad version must have had its last request 5 s after its 50th bad
  /// answer.
  static constexpr std::chrono::milliseconds Lifetime{1500};

  OrderId m_Order;
  std::uint64_t m_Report = 0; ///< Number of the report that it answers.
  Traffic m_Traffic = Traffic::Old;
  double m_Share = 0; ///< Of the instance's requests to the pool, for Sample.
};

/// What an instance tells the coordinator several times a second.
struct Report {
  OrderId m_Order;
  std::uint64_t m_Number = 0;
  core::Duration m_Age{}; ///< Of the order, as far as the sender knows.
  Traffic m_Traffic = Traffic::Old; ///< That it follows now.
  /// Requests under way at targets of other versions.
  std::uint32_t m_RunningOld = 0;
  std::uint32_t m_Sent = 0;     ///< Requests to the pool since the order.
  std::uint32_t m_SentNew = 0;  ///< Of these, to the new version.
  ResponseCountsByKey m_Counts; ///< Some or all; each is complete.
};

} // namespace yardrill::rollout

#endif
