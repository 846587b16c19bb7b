//===-- Workload.h - Random workloads with a burst ------------------------===//
//
// Text format, one request per line (docs/MEASUREMENTS.md):
// arrival in microseconds, tier, account, prefill tokens, output tokens,
// deadline in microseconds after arrival, prefix (0: none), instance.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_BENCH_WORKLOAD_H
#define YARDRILL_BENCH_WORKLOAD_H

#include "LibCore/Time.h"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace yardrill::bench {

/// One request of a workload.
struct Request {
  core::Duration m_At{}; ///< Arrival after the start.
  std::uint32_t m_Tier = 1;
  std::uint32_t m_Account = 0;
  std::uint32_t m_Prefill = 0; ///< Tokens.
  std::uint32_t m_Output = 0;  ///< Tokens.
  core::Duration m_Deadline{}; ///< After the arrival.
  std::uint64_t m_Prefix = 0;  ///< Prompt prefix; 0: none.
  std::size_t m_Instance = 0;
};

/// One kind of request in a mix.
struct RequestProfile {
  std::uint32_t m_Tier;
  double m_Share; ///< Share of all arrivals, 0 to 1.
  std::uint32_t m_Prefill;
  std::uint32_t m_Output;
  core::Duration m_Deadline;
  std::uint64_t m_Prefixes; ///< Number of shared prompt prefixes; 0: none.
};

/// Parameters of a random workload.
struct WorkloadShape {
  std::string m_Name;
  std::vector<RequestProfile> m_Kinds;
  double m_Rate = 0;  ///< Arrivals per second outside the burst.
  double m_Burst = 3; ///< Factor on the rate in the middle third.
  core::Duration m_Length = std::chrono::seconds(600);
  std::size_t m_Instances = 7;
  std::uint32_t m_Accounts = 5;
};

/// Returns the shape of the Trust's sale: listings and disputes beside long
/// seller summaries.
WorkloadShape trustSale();
/// Returns the shape of the club's tournament evening: questions and critical
/// positions beside long annotations over shared game records.
WorkloadShape clubEvening();

/// Returns the requests in order of arrival, which depend only on the
/// arguments.
std::vector<Request> makeWorkload(const WorkloadShape &Shape, unsigned Seed);
void writeWorkload(std::ostream &Out, const std::vector<Request> &Requests);

} // namespace yardrill::bench

#endif
