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
/// Weight of the newest observation; about ten count.
static constexpr double PaceWeight = 0.1;
static constexpr double FailureWeight = 0.1;
/// Bounds of the learned slowness; engines of one pool differ up to fivefold.
static constexpr double LeastSlowness = 0.5;
static constexpr double MostSlowness = 8;

//===----------------------------------------------------------------------===//
// Who is there
//===----------------------------------------------------------------------===//

TargetDirectory::TargetDirectory()
    : m_Admissions([this](const TargetRun &Run) { return sendersOf(Run); }) {}

void TargetDirectory::recut(PoolState &Which) {
  Which.m_IsCut = false;
  m_Admissions.invalidateSenders();
}

void TargetDirectory::attach(KnownTarget &Known) {
  PoolState &Pool = m_Pools[Known.m_Target.m_Pool];
  Pool.m_Order.insert(Known);
  recut(Pool);
  m_ByHash.emplace(Known.m_Hash, &Known);
}

void TargetDirectory::detach(KnownTarget &Known) {
  PoolState &Pool = m_Pools.at(Known.m_Target.m_Pool);
  Pool.m_Order.erase(Known);
  recut(Pool);
  auto [First, End] = m_ByHash.equal_range(Known.m_Hash);
  m_ByHash.erase(std::find_if(
      First, End, [&](const auto &Each) { return Each.second == &Known; }));
  m_Busy.erase(&Known);
  m_BusyElsewhere.erase(
      std::remove(m_BusyElsewhere.begin(), m_BusyElsewhere.end(), &Known),
      m_BusyElsewhere.end());
}

Announced TargetDirectory::announce(const Target &What) {
  m_Lapsed.erase(What.m_Name);
  auto [Place, IsNew] = m_Targets.try_emplace(What.m_Name);
  KnownTarget &Known = Place->second;
  bool IsNewRun = IsNew || Known.m_Target.m_Birth != What.m_Birth;
  bool IsMoved = IsNewRun || Known.m_Target.m_Pool != What.m_Pool ||
                 Known.m_Target.m_DataHall != What.m_DataHall;
  bool WasLapsed = Known.m_LapsedAt.has_value();
  Known.m_LapsedAt.reset();
  if (!IsMoved && !WasLapsed && Known.m_Target == What)
    return Announced::Nothing;
  if (!IsMoved) {
    Known.m_Target = What;
    return Announced::Changed;
  }
  if (!IsNew)
    detach(Known);
  if (IsNewRun)
    Known = KnownTarget();
  Known.m_Others = TargetLoad(); // Told again with the next reports.
  Known.m_Target = What;
  Known.m_Hash = What.run().hash();
  attach(Known);
  if (Known.m_Own.m_Running > 0)
    m_Busy.insert(&Known);
  return IsNewRun ? Announced::NewRun : Announced::Changed;
}

void TargetDirectory::withdraw(const core::TargetName &Name,
                               core::TimePoint Now) {
  KnownTarget *Known = find(Name);
  if (!Known || Known->m_LapsedAt)
    return;
  Known->m_LapsedAt = Now;
  m_Lapsed.insert(Name);
}

bool TargetDirectory::areMostLapsed() const {
  return m_Lapsed.size() * 2 > m_Targets.size();
}

void TargetDirectory::forgetLapsed(core::TimePoint Now) {
  // Of all pools together: two of a pool of three may well leave within a
  // second.
  core::Duration Grace = areMostLapsed() ? ManyLapsedGrace : OneLapsedGrace;
  for (auto Each = m_Lapsed.begin(); Each != m_Lapsed.end();) {
    auto Known = m_Targets.find(*Each);
    if (Now - *Known->second.m_LapsedAt < Grace) {
      ++Each;
      continue;
    }
    detach(Known->second);
    m_Targets.erase(Known);
    Each = m_Lapsed.erase(Each);
  }
}

//===----------------------------------------------------------------------===//
// What became of requests
//===----------------------------------------------------------------------===//

bool TargetDirectory::tryStart(const TargetRun &Run, std::uint32_t PromptTokens,
                               core::TimePoint Now) {
  KnownTarget *Known = findRun(Run);
  if (!Known || !isOpen(*Known, Now))
    return false;
  ++Known->m_Own.m_Running;
  m_Busy.insert(Known);
  Known->m_Own.m_PendingPrompt += PromptTokens;
  m_Admissions.noteSent(Run, Now);
  return true;
}

void TargetDirectory::began(const TargetRun &Run, std::uint32_t PromptTokens) {
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

void TargetDirectory::ended(const TargetRun &Run, std::uint32_t PendingPrompt) {
  KnownTarget *Known = findRun(Run);
  if (!Known || Known->m_Own.m_Running == 0)
    return;
  if (--Known->m_Own.m_Running == 0)
    m_Busy.erase(Known);
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

void TargetDirectory::notePace(const TargetRun &Run, core::Duration Pace) {
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
  m_Pools[Pool].m_Begin.add(Time);
}

core::Duration TargetDirectory::timeToBegin(const core::PoolName &Pool) const {
  auto Found = m_Pools.find(Pool);
  return Found == m_Pools.end() ? BeginEstimate().upperBound()
                                : Found->second.m_Begin.upperBound();
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
  for (KnownTarget *Each : m_BusyElsewhere)
    Each->m_Others = TargetLoad();
  m_BusyElsewhere.clear();
  for (const auto &[Hash, Load] : Sums) {
    auto [First, End] = m_ByHash.equal_range(Hash);
    for (auto Each = First; Each != End; ++Each) {
      Each->second->m_Others = Load;
      m_BusyElsewhere.push_back(Each->second);
    }
  }
}

//===----------------------------------------------------------------------===//
// Which are this instance's
//===----------------------------------------------------------------------===//

bool TargetDirectory::isLeaving(const TargetRun &Run) const {
  auto Found = m_Targets.find(Run.m_Name);
  if (Found == m_Targets.end() || Found->second.m_Target.m_Birth != Run.m_Birth)
    return true;
  const KnownTarget &Known = Found->second;
  return Known.m_Target.m_IsLeaving || m_Admissions.isLeaving(Run) ||
         (Known.m_LapsedAt && !areMostLapsed());
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

const std::vector<KnownTarget *> &
TargetDirectory::of(const core::PoolName &Pool) {
  static const std::vector<KnownTarget *> None;
  auto Found = m_Pools.find(Pool);
  if (Found == m_Pools.end())
    return None;
  if (!Found->second.m_IsCut)
    cut(Found->second);
  return Found->second.m_Own;
}

std::vector<KnownTarget *>
TargetDirectory::allOf(const core::PoolName &Pool) const {
  auto Found = m_Pools.find(Pool);
  if (Found == m_Pools.end())
    return {};
  return Found->second.m_Order.between(0, Found->second.m_Order.size());
}

void TargetDirectory::setShare(const FleetShare &Share) {
  m_Share = Share;
  for (auto &[Name, Pool] : m_Pools)
    recut(Pool);
}

void TargetDirectory::cut(PoolState &Which) const {
  Which.m_IsCut = true;
  Which.m_Own.clear();
  if (Which.m_Order.size() == 0)
    return;
  FleetShare::Ranks Ranks = m_Share.ownRanks(Which.m_Order.size());
  Which.m_Own = Which.m_Order.between(Ranks.m_First, Ranks.m_End);
  auto First = Which.m_Own.begin() +
               static_cast<long>(m_Share.firstOf(Which.m_Own.size()));
  std::rotate(Which.m_Own.begin(), First, Which.m_Own.end());
}

std::size_t TargetDirectory::sendersOf(const TargetRun &Run) {
  KnownTarget *Known = findRun(Run);
  if (!Known)
    return 0;
  const core::PoolName &Pool = Known->m_Target.m_Pool;
  const auto &Own = of(Pool);
  if (std::find(Own.begin(), Own.end(), Known) == Own.end())
    return 0;
  std::size_t Count = countOf(Pool);
  std::size_t Senders =
      std::min(SharedLimit::MostSenders, m_Share.sharersOf(Count).size());
  return m_Share.orderFor(Known->m_Hash, Count) < Senders ? Senders : 0;
}

bool TargetDirectory::isOpen(const KnownTarget &Which, core::TimePoint Now) {
  if (!Which.isOpen() || m_Admissions.isEmpty())
    return Which.isOpen();
  return m_Admissions.isOpen(Which.m_Target.run(), Now);
}

std::optional<core::TimePoint>
TargetDirectory::opensAt(const core::PoolName &Pool, std::size_t Ahead,
                         core::TimePoint Now,
                         const std::set<TargetRun> &Except) {
  if (m_Admissions.isEmpty())
    return std::nullopt;
  std::optional<core::TimePoint> First;
  auto TakeEarlier = [&First](core::TimePoint At) {
    First = First ? std::min(*First, At) : At;
  };
  std::optional<core::TimePoint> FirstLimited;
  double PerSecond = 0;
  for (const KnownTarget *Each : of(Pool)) {
    TargetRun Run = Each->m_Target.run();
    if (!Each->isOpen() || Except.count(Run) != 0)
      continue;
    auto Next = m_Admissions.opening(Run, Now);
    if (Next && Next->m_At <= Now)
      return std::nullopt;
    if (Next && !Next->m_PerSecond)
      TakeEarlier(Next->m_At);
    if (!Next || !Next->m_PerSecond)
      continue;
    FirstLimited =
        FirstLimited ? std::min(*FirstLimited, Next->m_At) : Next->m_At;
    PerSecond += *Next->m_PerSecond;
  }
  if (FirstLimited)
    TakeEarlier(*FirstLimited +
                core::fromSeconds(static_cast<double>(Ahead) / PerSecond));
  return First;
}

std::size_t TargetDirectory::countOf(const core::PoolName &Pool) const {
  auto Found = m_Pools.find(Pool);
  return Found == m_Pools.end() ? 0 : Found->second.m_Order.size();
}

std::size_t TargetDirectory::visited() const {
  std::size_t Out = 0;
  for (const auto &[Name, Pool] : m_Pools)
    Out += Pool.m_Order.visited();
  return Out;
}

} // namespace yardrill::routing
