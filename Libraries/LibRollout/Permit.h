//===-- Permit.h - Reports and permits of a roll-out ----------------------===//
//
// Each instance (participant) reports to the coordinator of a roll-out and gets
// a permit in response, which allows it to send requests to the new version.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROLLOUT_PERMIT_H
#define YARDRILL_LIBROLLOUT_PERMIT_H

#include "LibRollout/Evidence.h"
#include "LibRollout/Order.h"

namespace yardrill::rollout {

/// Version to which new requests of a pool are sent.
enum class Traffic : std::uint8_t {
  Old,    ///< The old version only; also without a permit.
  Sample, ///< The old version, with samples to the new one.
  New,    ///< The new version only.
};

/// Returns the period of a participant's reports. It grows with the number of
/// instances, since all of them report to one coordinator.
constexpr core::Duration reportPeriod(std::size_t Instances) {
  return std::chrono::milliseconds(250 + Instances);
}
/// Period at which the coordinator evaluates the evidence.
constexpr std::chrono::milliseconds EvaluationPeriod{200};

/// Permission to send requests to the new version, granted by the coordinator
/// in response to a report. It expires, so that an instance that is cut off
/// stops sending to the new version.
struct Permit {
  /// Lifetime from the sending of the report that it answers: about three
  /// report periods of a large fleet, and short enough that a bad version gets
  /// its last request within the required 5 s after its 50th bad response.
  static constexpr std::chrono::milliseconds Lifetime{1500};

  OrderId m_Order;
  std::uint64_t m_Report = 0; ///< Number of the report that it answers.
  Traffic m_Traffic = Traffic::Old;
  /// Share of the instance's requests to the pool that may be samples, 0 to 1.
  double m_Share = 0;
};

/// Periodic report of an instance to the coordinator.
struct Report {
  OrderId m_Order;
  std::uint64_t m_Number = 0; ///< Grows with each report of the sender.
  core::Duration m_Age{};     ///< Age of the order, as known to the sender.
  Traffic m_Traffic = Traffic::Old; ///< Traffic mode in force at the sender.
  /// Requests that are running at targets of other versions.
  std::uint32_t m_RunningOld = 0;
  std::uint32_t m_Sent = 0;    ///< Requests sent to the pool since the order.
  std::uint32_t m_SentNew = 0; ///< Part of m_Sent that went to the new version.
  /// Counters of some or all keys, each with its total since the order.
  ResponseCountsByKey m_Counts;
};

} // namespace yardrill::rollout

#endif
