#include "LibDecision/TargetTable.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cassert>
#include <limits>

namespace yardrill::decision {

/// Rates assumed for a target without a response yet, in tokens per second.
static const double InitialDecodeRate = 30;
static const double InitialPrefillRate = 3000;
/// Weight of the newest observation in the moving average of a rate.
static const double RateWeight = 0.2;
/// Ratio up to which predictions count as tied. Ties are broken at random, so
/// that instances with the same state do not all choose the same target.
static const double TieFactor = 1.05;
static const std::chrono::milliseconds InitialBackoff(100);
static const std::uint32_t MaxBackoffDoublings = 6;
/// Minimum number of tokens from which a rate is updated.
static const std::uint32_t MinTokensForRate = 4;

template <class List>
static bool isEmptyOrContains(const List &Names, const std::string &N) {
  return Names.empty() ||
         std::find(Names.begin(), Names.end(), N) != Names.end();
}

bool ExpectedWork::isAllowedAt(const config::Target &Target) const {
  return !m_Allowed ||
         (isEmptyOrContains(m_Allowed->m_DataHalls,
                            Target.m_DataHall.value()) &&
          isEmptyOrContains(m_Allowed->m_Targets, Target.m_Name.value()));
}

void TargetTable::configure(const config::Pool &Pool,
                            core::TierNumber Highest) {
  m_Highest = Highest;
  std::map<core::TargetName, TargetState> Next;
  for (const config::Target &T : Pool.m_Targets) {
    auto Previous = m_Targets.find(T.m_Name);
    TargetState State;
    if (Previous != m_Targets.end())
      State = Previous->second;
    State.m_Target = T;
    State.m_NameHash = core::stableHash(T.m_Name.value());
    State.m_IsLeavingByList = m_Leaving.count(T.m_Name) != 0;
    Next.emplace(T.m_Name, State);
  }
  // A removed target stays, marked as leaving, until its requests have ended.
  for (auto &[Name, State] : m_Targets) {
    if (Next.count(Name) != 0 || State.m_Running == 0)
      continue;
    State.m_Target.m_IsLeaving = true;
    Next.emplace(Name, State);
  }
  m_Targets = std::move(Next);
  m_ReservedSlots = Pool.m_ReservedSlots;
  m_PrefillWeight = Pool.m_PrefillWeight;
  // Per the brief, only model engines honour priorities.
  m_HonoursPriority = Pool.m_Kind == config::PoolKind::Model;
}

void TargetTable::setLeaving(const std::set<core::TargetName> &Leaving) {
  m_Leaving = Leaving;
  for (auto &[Name, State] : m_Targets)
    State.m_IsLeavingByList = Leaving.count(Name) != 0;
}

std::size_t TargetTable::instanceShare(const TargetState &Target) const {
  return (Target.m_Target.m_Slots + m_InstanceCount - 1) / m_InstanceCount;
}

/// Counts requests at \p Target of the same or a higher tier, which are served
/// before a new one of \p Tier.
static std::size_t countServedBefore(const TargetState &Target,
                                     core::TierNumber Tier) {
  std::size_t Count = 0;
  for (const auto &[Other, OfTier] : Target.m_RunningByTier)
    Count += Tier < Other ? 0 : OfTier;
  return Count;
}

bool TargetTable::hasFreeSlot(const TargetState &Target,
                              core::TierNumber Tier) const {
  std::size_t Before =
      m_HonoursPriority ? countServedBefore(Target, Tier) : Target.m_Running;
  return Before < instanceShare(Target);
}

bool TargetTable::leavesReservedSlots(core::TierNumber Tier) const {
  if (m_ReservedSlots == 0)
    return true;
  std::size_t Slots = 0;
  std::size_t Running = 0;
  for (const auto &[Name, State] : m_Targets) {
    Slots += State.m_Target.m_Slots -
             std::min(State.m_Target.m_Slots, m_ReservedSlots);
    Running +=
        countServedBefore(State, Tier) - countServedBefore(State, m_Highest);
  }
  return Running < (Slots + m_InstanceCount - 1) / m_InstanceCount;
}

TargetTable::PrefixTargets
TargetTable::prefixTargets(std::uint64_t PrefixHash) const {
  PrefixTargets Preferred{};
  std::array<std::size_t, PrefixTargetCount> Ranks{};
  if (PrefixHash == 0)
    return Preferred;
  for (const auto &[Name, State] : m_Targets) {
    std::size_t Rank = PrefixHash;
    boost::hash_combine(Rank, State.m_NameHash);
    // Inserts the target into the highest ranks, in descending order.
    const TargetState *Next = &State;
    for (std::size_t I = 0; I < PrefixTargetCount; ++I) {
      if (Preferred[I] && Rank <= Ranks[I])
        continue;
      std::swap(Preferred[I], Next);
      std::swap(Ranks[I], Rank);
      if (!Next)
        break;
    }
  }
  return Preferred;
}

double TargetTable::predictedFinish(const TargetState &Target,
                                    const ExpectedWork &Work,
                                    bool IsPrefixCached) const {
  double Decode =
      Target.m_DecodeRate > 0 ? Target.m_DecodeRate : InitialDecodeRate;
  double Prefill =
      Target.m_PrefillRate > 0 ? Target.m_PrefillRate : InitialPrefillRate;
  double Seconds = Work.m_OutputTokens / Decode;
  // A fuller batch slows down all of its requests.
  double Fill = static_cast<double>(Target.m_Running) /
                static_cast<double>(instanceShare(Target));
  if (!IsPrefixCached)
    Seconds += m_PrefillWeight * Work.m_PrefillTokens / Prefill;
  return Seconds * (1 + Fill) + Fill;
}

std::optional<core::TargetName>
TargetTable::choose(const ExpectedWork &Work, core::TierNumber Tier,
                    core::TimePoint Now, std::mt19937_64 &Random) const {
  if (m_Highest < Tier && !leavesReservedSlots(Tier))
    return std::nullopt;
  // Checks slots before the costlier prediction: most calls find a full pool.
  std::vector<std::pair<double, const TargetState *>> Candidates;
  for (const auto &[Name, State] : m_Targets)
    if (State.takesNewWork(Now) && hasFreeSlot(State, Tier) &&
        Work.isAllowedAt(State.m_Target))
      Candidates.emplace_back(0, &State);
  if (Candidates.empty())
    return std::nullopt;
  PrefixTargets Preferred = prefixTargets(Work.m_PrefixHash);
  double Best = std::numeric_limits<double>::max();
  for (auto &[Finish, State] : Candidates) {
    bool IsPrefixCached =
        std::find(Preferred.begin(), Preferred.end(), State) != Preferred.end();
    Finish = predictedFinish(*State, Work, IsPrefixCached);
    Best = std::min(Best, Finish);
  }
  auto IsWorse = [Best](const auto &A) { return A.first > Best * TieFactor; };
  Candidates.erase(
      std::remove_if(Candidates.begin(), Candidates.end(), IsWorse),
      Candidates.end());
  return Candidates[Random() % Candidates.size()].second->m_Target.m_Name;
}

void TargetTable::started(const core::TargetName &Name, core::TierNumber Tier) {
  TargetState &Target = m_Targets.at(Name);
  ++Target.m_Running;
  ++Target.m_RunningByTier[Tier];
}

static void removeRunning(TargetState &Target, core::TierNumber Tier) {
  std::size_t &OfTier = Target.m_RunningByTier[Tier];
  assert(Target.m_Running > 0 && OfTier > 0);
  --Target.m_Running;
  --OfTier;
}

void TargetTable::finished(const core::TargetName &Name,
                           core::TierNumber Tier) {
  TargetState &Target = m_Targets.at(Name);
  removeRunning(Target, Tier);
  Target.m_ConnectFailures = 0;
}

void TargetTable::connectFailed(const core::TargetName &Name,
                                core::TierNumber Tier, core::TimePoint Now) {
  TargetState &Target = m_Targets.at(Name);
  removeRunning(Target, Tier);
  auto Doublings = std::min(Target.m_ConnectFailures++, MaxBackoffDoublings);
  Target.m_ConnectRetryAt = Now + InitialBackoff * (1 << Doublings);
}

static void updateAverage(double &Rate, double Observed) {
  Rate = Rate == 0 ? Observed : Rate + RateWeight * (Observed - Rate);
}

void TargetTable::updateRates(const core::TargetName &Name,
                              const ExpectedWork &Work,
                              core::Duration FirstByte, core::Duration Rest,
                              std::uint32_t OutputTokens) {
  TargetState &Target = m_Targets.at(Name);
  if (OutputTokens >= MinTokensForRate && Rest.count() > 0)
    updateAverage(Target.m_DecodeRate, OutputTokens / core::toSeconds(Rest));
  if (Work.m_PrefillTokens >= MinTokensForRate && FirstByte.count() > 0)
    updateAverage(Target.m_PrefillRate,
                  Work.m_PrefillTokens / core::toSeconds(FirstByte));
}

const TargetState *TargetTable::find(const core::TargetName &Name) const {
  auto Found = m_Targets.find(Name);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

} // namespace yardrill::decision
