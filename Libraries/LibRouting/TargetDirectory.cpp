#include "LibRouting/TargetDirectory.h"

#include <algorithm>

namespace yardrill::routing {

/// Announcements that ran out during an outage of the store are back within
/// two seconds of its return (the platform's promise); a margin for the way.
/// The mark of an outage is that most targets of all pools lapse.
static constexpr std::chrono::milliseconds ManyLapsedGrace{2400};
/// One that is missing alone has left; work sent on the old word until then
/// would still be in time (a leaving target must be left alone after 2 s).
static constexpr std::chrono::milliseconds OneLapsedGrace{1200};
/// Rest after a failure: long enough to pass over a burst of failures, short
/// enough to notice a restart; doubles with each further one.
static constexpr std::chrono::milliseconds FirstRest{100};
static constexpr std::chrono::milliseconds LongestRest{2000};
/// Failures in a row after which a target that has rested is tried with one
/// request at a time, until one succeeds.
static constexpr unsigned FailuresBeforeProbation = 2;
/// Weight of the newest observation; about ten count.
static constexpr double PaceWeight = 0.1;
static constexpr double FailureWeight = 0.1;
/// Bounds of the learned slowness; engines of one pool differ up to fivefold.
static constexpr double LeastSlowness = 0.5;
static constexpr double MostSlowness = 8;

bool KnownTarget::isOnProbation() const {
  return m_FailuresInARow >= FailuresBeforeProbation;
}

void TargetLoad::forgetPrompt(std::uint32_t Tokens) {
  m_PendingPrompt -= std::min<std::uint64_t>(m_PendingPrompt, Tokens);
}

bool TargetDirectory::announce(const Target &What) {
  auto [Place, IsNew] = m_Targets.try_emplace(What.m_Name);
  KnownTarget &Known = Place->second;
  bool IsNewRun = IsNew || Known.m_Target.m_Birth != What.m_Birth;
  if (IsNewRun) {
    core::PoolName Pool = Known.m_Target.m_Pool;
    Known = KnownTarget();
    Known.m_Target.m_Pool = Pool;
    Known.m_Hash = What.run().hash();
  }
  if (!IsNew && Known.m_Target.m_Pool != What.m_Pool) {
    auto &Old = m_ByPool[Known.m_Target.m_Pool];
    Old.erase(std::remove(Old.begin(), Old.end(), What.m_Name), Old.end());
    cut(Known.m_Target.m_Pool);
  }
  auto &Names = m_ByPool[What.m_Pool];
  if (std::find(Names.begin(), Names.end(), What.m_Name) == Names.end())
    Names.push_back(What.m_Name);
  Known.m_Target = What;
  Known.m_LapsedAt.reset();
  if (IsNewRun)
    cut(What.m_Pool);
  return IsNewRun;
}

void TargetDirectory::withdraw(const core::TargetName &Name,
                               core::TimePoint Now) {
  KnownTarget *Known = find(Name);
  if (!Known || Known->m_LapsedAt)
    return;
  Known->m_LapsedAt = Now;
}

bool TargetDirectory::areMostLapsed() const {
  auto Lapsed = static_cast<std::size_t>(
      std::count_if(m_Targets.begin(), m_Targets.end(), [](const auto &Each) {
        return Each.second.m_LapsedAt.has_value();
      }));
  return Lapsed * 2 > m_Targets.size();
}

void TargetDirectory::forgetLapsed(core::TimePoint Now) {
  // Of all pools together: two of a pool of three may well leave within a
  // second, and were still sent requests 2.2 s later (2 s are allowed).
  core::Duration Grace = areMostLapsed() ? ManyLapsedGrace : OneLapsedGrace;
  auto MustStay = [&](const core::TargetName &Name) {
    const KnownTarget &Known = m_Targets[Name];
    return !Known.m_LapsedAt || Now - *Known.m_LapsedAt < Grace;
  };
  for (auto &[Pool, Names] : m_ByPool) {
    auto First = std::stable_partition(Names.begin(), Names.end(), MustStay);
    std::vector<core::TargetName> Gone(First, Names.end());
    Names.erase(First, Names.end());
    for (const core::TargetName &Name : Gone)
      m_Targets.erase(Name);
    if (!Gone.empty())
      cut(Pool);
  }
}

void TargetDirectory::started(const TargetRun &Run,
                              std::uint32_t PromptTokens) {
  if (KnownTarget *Known = findRun(Run)) {
    ++Known->m_Own.m_Running;
    Known->m_Own.m_PendingPrompt += PromptTokens;
  }
}

void TargetDirectory::began(const TargetRun &Run,
                            std::uint32_t PromptTokens) {
  KnownTarget *Known = findRun(Run);
  if (!Known)
    return;
  Known->m_FailuresInARow = 0;
  Known->m_Own.forgetPrompt(PromptTokens);
}

void TargetDirectory::replaced(const TargetRun &Run) {
  if (KnownTarget *Known = findRun(Run))
    Known->m_IsReplaced = true;
}

void TargetDirectory::ended(const TargetRun &Run,
                            std::uint32_t PendingPrompt) {
  KnownTarget *Known = findRun(Run);
  if (!Known || Known->m_Own.m_Running == 0)
    return;
  --Known->m_Own.m_Running;
  Known->m_Own.forgetPrompt(PendingPrompt);
}

void TargetDirectory::failed(const TargetRun &Run, TargetFailure How,
                             core::TimePoint Now) {
  KnownTarget *Known = findRun(Run);
  if (!Known)
    return;
  Known->m_FailureShare += FailureWeight * (1 - Known->m_FailureShare);
  unsigned Doublings = std::min(Known->m_FailuresInARow, 5U);
  ++Known->m_FailuresInARow;
  // One that runs requests and fails some still does part of the work.
  if (How == TargetFailure::Failed && Doublings == 0)
    return;
  core::Duration Rest =
      std::min<core::Duration>(FirstRest * (1U << Doublings), LongestRest);
  Known->m_RestsUntil = Now + Rest;
}

void TargetDirectory::succeeded(const TargetRun &Run) {
  KnownTarget *Known = findRun(Run);
  if (!Known)
    return;
  Known->m_FailureShare -= FailureWeight * Known->m_FailureShare;
  Known->m_FailuresInARow = 0;
}

void TargetDirectory::notePace(const TargetRun &Run,
                               core::Duration Pace) {
  KnownTarget *Known = findRun(Run);
  if (!Known)
    return;
  double Ms = core::toSeconds(Pace) * 1000;
  Known->m_PaceMs = Known->m_PaceMs == 0
                        ? Ms
                        : Known->m_PaceMs + PaceWeight * (Ms - Known->m_PaceMs);
  updateSlowness(Known->m_Target.m_Pool);
}

void TargetDirectory::noteBegin(const core::PoolName &Pool,
                                core::Duration Time) {
  m_Begins[Pool].add(Time);
}

core::Duration TargetDirectory::timeToBegin(const core::PoolName &Pool) const {
  auto Found = m_Begins.find(Pool);
  return Found == m_Begins.end() ? BeginEstimate().upperBound()
                                 : Found->second.upperBound();
}

void TargetDirectory::updateSlowness(const core::PoolName &Pool) {
  std::vector<double> Paces;
  for (const KnownTarget *Each : of(Pool))
    if (Each->m_PaceMs > 0)
      Paces.push_back(Each->m_PaceMs);
  if (Paces.empty())
    return;
  auto Middle = Paces.begin() + static_cast<long>(Paces.size() / 2);
  std::nth_element(Paces.begin(), Middle, Paces.end());
  for (KnownTarget *Each : of(Pool))
    if (Each->m_PaceMs > 0)
      Each->m_Slowness =
          std::clamp(Each->m_PaceMs / *Middle, LeastSlowness, MostSlowness);
}

void TargetDirectory::setOthers(
    const std::unordered_map<std::uint32_t, TargetLoad> &Sums) {
  for (auto &[Name, Known] : m_Targets) {
    auto Found = Sums.find(Known.m_Hash);
    Known.m_Others = Found == Sums.end() ? TargetLoad() : Found->second;
  }
}

KnownTarget *TargetDirectory::find(const core::TargetName &Name) {
  auto Found = m_Targets.find(Name);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

KnownTarget *TargetDirectory::findRun(const TargetRun &Run) {
  KnownTarget *Known = find(Run.m_Name);
  bool IsIt = Known && Known->m_Target.m_Birth == Run.m_Birth;
  return IsIt ? Known : nullptr;
}

std::vector<KnownTarget *> TargetDirectory::of(const core::PoolName &Pool) {
  std::vector<KnownTarget *> Out;
  auto Found = m_Own.find(Pool);
  if (Found == m_Own.end())
    return Out;
  for (const core::TargetName &Name : Found->second)
    Out.push_back(&m_Targets[Name]);
  return Out;
}

void TargetDirectory::setShare(const FleetShare &Share) {
  m_Share = Share;
  for (const auto &[Pool, Names] : m_ByPool)
    cut(Pool);
}

void TargetDirectory::cut(const core::PoolName &Pool) {
  const std::vector<core::TargetName> &Names = m_ByPool[Pool];
  std::vector<PlacedMember> Members;
  for (const core::TargetName &Name : Names) {
    const KnownTarget &Known = m_Targets[Name];
    Members.push_back({Known.m_Target.m_DataHall, Known.m_Hash});
  }
  std::vector<std::size_t> Order = mixedOrder(Members);
  auto &Own = m_Own[Pool];
  Own.clear();
  for (std::size_t Rank = 0; Rank < Order.size(); ++Rank)
    if (m_Share.isOwn(Rank, Order.size()))
      Own.push_back(Names[Order[Rank]]);
  auto First = Own.begin() + static_cast<long>(m_Share.firstOf(Own.size()));
  std::rotate(Own.begin(), First, Own.end());
}

std::size_t TargetDirectory::countOf(const core::PoolName &Pool) const {
  auto Found = m_ByPool.find(Pool);
  return Found == m_ByPool.end() ? 0 : Found->second.size();
}

} // namespace yardrill::routing
