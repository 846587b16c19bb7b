//===-- Workload.h - Requests of a burst, from a seed ---------------------===//
//
// Format when written as text, one request a line (docs/MEASUREMENTS.md):
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

struct Request {
  core::Duration m_At{};
  std::uint32_t m_Tier = 1;
  std::uint32_t m_Account = 0;
  std::uint32_t m_Prefill = 0;
  std::uint32_t m_Output = 0;
  core::Duration m_Deadline{};
  std::uint64_t m_Prefix = 0;
  std::size_t m_Instance = 0;
};

/// One kind of request in a mix.
struct RequestProfile {
  std::uint32_t m_Tier;
  double m_Share; ///< Of all arrivals.
  std::uint32_t m_Prefill;
  std::uint32_t m_Output;
  core::Duration m_Deadline;
  std::uint64_t m_Prefixes; ///< How many share their prompts; 0: none shared.
};

struct WorkloadShape {
  std::string m_Name;
  std::vector<RequestProfile> m_Kinds;
  double m_Rate = 0;  ///< Arrivals a second outside the burst.
  double m_Burst = 3; ///< Times that in the middle third.
  core::Duration m_Length = std::chrono::seconds(600);
  std::size_t m_Instances = 7;
  std::uint32_t m_Accounts = 5;
};

/// The Trust's sale: listings and disputes beside long seller summaries.
WorkloadShape trustSale();
/// The club's tournament evening: questions and critical positions beside long
/// annotations over shared game records.
WorkloadShape clubEvening();

std::vector<Request> makeWorkload(const WorkloadShape &Shape, unsigned Seed);
void writeWorkload(std::ostream &Out, const std::vector<Request> &Requests);

} // namespace yardrill::bench

#endif
