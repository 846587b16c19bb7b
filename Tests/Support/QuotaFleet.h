//===-- QuotaFleet.h - Instances that share quotas, in simulated time -----===//
//
// The decisions are the product's; time, links, kills and cuts are simulated.
// Every draw that was allowed is kept, so that a test can look at any window.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_QUOTAFLEET_H
#define YARDRILL_TESTS_QUOTAFLEET_H

#include "LibCore/Time.h"
#include "LibRouting/RoutingTable.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace yardrill::tests {

/// Tokens that an account was allowed at one moment.
struct AllowedDraw {
  core::TimePoint m_At{};
  std::uint32_t m_Tokens = 0;
};

class QuotaFleet {
public:
  /// \param Accounts each with a limit.
  QuotaFleet(std::size_t Size, std::vector<routing::Account> Accounts,
             std::uint64_t Seed);
  ~QuotaFleet();

  core::TimePoint now() const;
  /// Lets simulated time pass, in steps of StepTime.
  void advance(core::Duration Time);
  /// A request of \p Account comes to \p Instance. Nothing happens while that
  /// is down.
  void request(std::size_t Instance, std::size_t Account, std::uint32_t Tokens);
  /// Kills the process; it starts again after \p Down.
  void kill(std::size_t Instance, core::Duration Down);
  /// Cuts the instance off from all others; its callers still reach it.
  void cut(std::size_t Instance, core::Duration Time);

  const std::vector<AllowedDraw> &allowed(std::size_t Account) const;
  /// Requests of the account that were refused.
  std::size_t refused(std::size_t Account) const;

  static constexpr std::chrono::milliseconds StepTime{10};

private:
  struct Model;
  std::unique_ptr<Model> m_Model;
};

} // namespace yardrill::tests

#endif
