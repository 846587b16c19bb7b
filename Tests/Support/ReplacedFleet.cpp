//===-- ReplacedFleet.cpp - Callers of a fleet whose instances change -----===//
#include "ReplacedFleet.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

namespace yardrill::tests {

static constexpr std::size_t Accounts = 8;
static constexpr double Limit =
    77000; ///< Tokens a second, and burst in tokens.
static constexpr double Load =
    0.7; ///< Multiple of the limit that is requested.
static constexpr std::uint32_t RequestTokens = 3000;
static const routing::QuotaTolerance Tolerance{0.1, 190000,
                                               std::chrono::seconds(8)};

static QuotaSimulationSettings settings(std::size_t Size, std::uint64_t Seed) {
  QuotaSimulationSettings Out;
  Out.m_Size = Size;
  Out.m_Tolerance = Tolerance;
  Out.m_Seed = Seed;
  Out.m_HasWriter = true;
  for (std::size_t I = 0; I < Accounts; ++I) {
    routing::Account Added;
    Added.m_Name = core::AccountName("account-" + std::to_string(I));
    Added.m_TokensPerSecond = Limit;
    Added.m_Burst = Limit;
    Out.m_Accounts.push_back(Added);
  }
  return Out;
}

ReplacedFleet::ReplacedFleet(std::size_t Size, std::uint64_t Seed)
    : m_Random(Seed), m_FirstCount(Size), m_Fleet(settings(Size, Seed)) {
  run(std::chrono::seconds(20));
}

void ReplacedFleet::run(core::Duration Time) {
  core::TimePoint End = m_Fleet.now() + Time;
  while (m_Fleet.now() < End) {
    m_Fleet.advance(QuotaSimulation::StepTime);
    std::vector<std::size_t> Ready;
    for (std::size_t I = 0; I < m_Fleet.size(); ++I)
      if (m_Fleet.isReady(I))
        Ready.push_back(I);
    for (std::size_t I = 0; I < Accounts && !Ready.empty(); ++I)
      sendRequests(I, Ready);
  }
}

void ReplacedFleet::join(std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    m_Fleet.join();
}

void ReplacedFleet::replaceInSteps(std::size_t StepSize, core::Duration Gap,
                                   bool IsNewFirst) {
  for (std::size_t I = 0; I < m_FirstCount; I += StepSize) {
    std::size_t End = std::min(I + StepSize, m_FirstCount);
    if (IsNewFirst)
      join(End - I);
    for (std::size_t J = I; J < End; ++J)
      m_Fleet.stop(J);
    run(Gap);
    if (!IsNewFirst)
      join(End - I);
  }
}

void ReplacedFleet::kill(std::size_t First, std::size_t End,
                         std::optional<core::Duration> Down) {
  for (std::size_t I = First; I < End; ++I)
    m_Fleet.kill(I, Down.value_or(std::chrono::hours(9)));
}

double ReplacedFleet::grantedShare(core::Duration Time) const {
  double Requested = 0;
  double Granted = 0;
  for (auto Each = m_Requests.rbegin(); Each != m_Requests.rend(); ++Each) {
    if (m_Fleet.now() - *Each > Time)
      break;
    Requested += RequestTokens;
  }
  for (std::size_t I = 0; I < Accounts; ++I)
    for (const TokenGrant &Each : m_Fleet.grants(I))
      Granted += m_Fleet.now() - Each.m_At <= Time ? Each.m_Tokens : 0;
  return Granted / Requested;
}

void ReplacedFleet::checkRecovery(const std::string &Name) {
  run(RecoveryTime);
  double Meanwhile = grantedShare(RecoveryTime);
  run(std::chrono::seconds(15));
  double After = grantedShare(std::chrono::seconds(15));
  std::cerr << "\n"
            << Name << " instances=" << m_FirstCount
            << " served_first_30s=" << Meanwhile << " served_after=" << After;
  checkQuota(Name);
  CPPUNIT_ASSERT_MESSAGE(Name, After >= AimedShare);
}

void ReplacedFleet::checkQuota(const std::string &Name) const {
  double Bound = Limit * core::toSeconds(Tolerance.m_Window) + Limit;
  for (std::size_t I = 0; I < Accounts; ++I)
    CPPUNIT_ASSERT_MESSAGE(Name,
                           maxInWindow(m_Fleet.grants(I), Tolerance.m_Window) <=
                               Bound + Tolerance.tokens({Limit, Limit}));
}

void ReplacedFleet::sendRequests(std::size_t Account,
                                 const std::vector<std::size_t> &Ready) {
  std::poisson_distribution<int> Count(
      Limit * Load / RequestTokens *
      core::toSeconds(QuotaSimulation::StepTime));
  std::uniform_int_distribution<std::size_t> Chosen(0, Ready.size() - 1);
  for (int Remaining = Count(m_Random); Remaining > 0; --Remaining) {
    m_Requests.push_back(m_Fleet.now());
    m_Fleet.request(Ready[Chosen(m_Random)], Account, RequestTokens);
  }
}

} // namespace yardrill::tests
