#include "LibRouting/TargetDirectory.h"

#include <algorithm>

namespace yardrill::routing {

/// Grace period while most targets are missing, which indicates an outage of
/// the store. The platform guarantees that announcements are back within two
/// seconds of its end; the rest is a margin for propagation.
static constexpr std::chrono::milliseconds OutageGracePeriod{2400};
/// Grace period of a single missing target, which has probably left. Requests
/// to a leaving target must stop within 2 s.
static constexpr std::chrono::milliseconds ExpiryGracePeriod{1200};
/// Cooldown after a failure, doubled with each consecutive one: long enough to
/// skip a burst of failures, short enough to notice a restart.
static constexpr std::chrono::milliseconds InitialCooldown{100};
static constexpr std::chrono::milliseconds MaxCooldown{2000};
/// Longest time for which a target that fails under rejections is avoided after
/// one.
static constexpr std::chrono::seconds MaxRejectionPause{5};
/// Weights of the newest sample in the moving averages.
static constexpr double ServiceTimeWeight = 0.1;
static constexpr double FailureWeight = 0.1;
/// Bounds of the learned slowness. Targets of one pool differ up to fivefold.
static constexpr double MinSlowness = 0.5;
static constexpr double MaxSlowness = 8;

//===----------------------------------------------------------------------===//
// Announcements
//===----------------------------------------------------------------------===//

TargetDirectory::TargetDirectory()
    : m_Throttles([this](const TargetIncarnation &Incarnation) {
        return senderCount(Incarnation);
      }) {}

void TargetDirectory::invalidateSubset(PoolState &Pool) {
  Pool.m_IsSubsetValid = false;
  m_Throttles.invalidateSenders();
}

void TargetDirectory::attach(KnownTarget &Known) {
  PoolState &Pool = m_Pools[Known.m_Target.m_Pool];
  Pool.m_Order.insert(Known);
  invalidateSubset(Pool);
  m_ByHash.emplace(Known.m_Hash, &Known);
  m_Versions.add(Known.m_Target.m_Pool, Known.m_Target.m_Version);
}

void TargetDirectory::detach(KnownTarget &Known) {
  m_Versions.remove(Known.m_Target.m_Pool, Known.m_Target.m_Version);
  PoolState &Pool = m_Pools.at(Known.m_Target.m_Pool);
  Pool.m_Order.erase(Known);
  invalidateSubset(Pool);
  auto [First, End] = m_ByHash.equal_range(Known.m_Hash);
  m_ByHash.erase(std::find_if(
      First, End, [&](const auto &Each) { return Each.second == &Known; }));
  m_Busy.erase(&Known);
  m_RemotelyBusy.erase(
      std::remove(m_RemotelyBusy.begin(), m_RemotelyBusy.end(), &Known),
      m_RemotelyBusy.end());
}

AnnouncementEffect TargetDirectory::announce(const Target &Announced) {
  m_Expired.erase(Announced.m_Name);
  auto [Entry, IsNew] = m_Targets.try_emplace(Announced.m_Name);
  KnownTarget &Known = Entry->second;
  bool IsReset = IsNew || Known.m_Target.m_StartTime != Announced.m_StartTime;
  bool IsMoved = IsReset || Known.m_Target.m_Pool != Announced.m_Pool ||
                 Known.m_Target.m_DataHall != Announced.m_DataHall;
  bool WasExpired = Known.m_ExpiredAt.has_value();
  Known.m_ExpiredAt.reset();
  Known.m_IsLostInCopy = false;
  if (!IsMoved && !WasExpired && Known.m_Target == Announced)
    return AnnouncementEffect::Nothing;
  if (!IsMoved) {
    m_Versions.remove(Known.m_Target.m_Pool, Known.m_Target.m_Version);
    m_Versions.add(Announced.m_Pool, Announced.m_Version);
    Known.m_Target = Announced;
    return AnnouncementEffect::Changed;
  }
  if (!IsNew)
    detach(Known);
  if (IsReset)
    Known = KnownTarget();
  Known.m_RemoteLoad = TargetLoad(); // The next reports set it.
  Known.m_Target = Announced;
  Known.m_Hash = Announced.incarnation().hash();
  attach(Known);
  if (Known.m_LocalLoad.m_Running > 0)
    m_Busy.insert(&Known);
  return IsReset ? AnnouncementEffect::NewIncarnation
                 : AnnouncementEffect::Changed;
}

void TargetDirectory::withdraw(const core::TargetName &Name,
                               core::TimePoint Now, bool IsRestored) {
  KnownTarget *Known = find(Name);
  if (!Known || Known->m_ExpiredAt)
    return;
  Known->m_ExpiredAt = Now;
  Known->m_IsLostInCopy = IsRestored;
  m_Expired.insert(Name);
}

bool TargetDirectory::areMostExpired() const {
  return m_Expired.size() * 2 > m_Targets.size();
}

core::Duration TargetDirectory::gracePeriod(const KnownTarget &Known,
                                            bool AreMostExpired) {
  return AreMostExpired || Known.m_IsLostInCopy ? OutageGracePeriod
                                                : ExpiryGracePeriod;
}

void TargetDirectory::removeExpired(core::TimePoint Now) {
  // Judged over all pools together, because most targets of a small pool may
  // leave within a second without an outage.
  bool AreMostExpired = areMostExpired();
  for (auto Each = m_Expired.begin(); Each != m_Expired.end();) {
    auto Known = m_Targets.find(*Each);
    if (Now - *Known->second.m_ExpiredAt <
        gracePeriod(Known->second, AreMostExpired)) {
      ++Each;
      continue;
    }
    detach(Known->second);
    m_Targets.erase(Known);
    Each = m_Expired.erase(Each);
  }
  m_Versions.removeOld(m_VersionRetention, Now);
}

bool TargetDirectory::hasVersion(const core::PoolName &Pool,
                                 const core::TargetVersion &Version) const {
  std::vector<KnownTarget *> All = allTargetsOf(Pool);
  return std::any_of(All.begin(), All.end(), [&](const KnownTarget *Each) {
    return Each->m_Target.m_Version == Version && Each->acceptsRequests();
  });
}

//===----------------------------------------------------------------------===//
// Warm-up, data halls and regions
//===----------------------------------------------------------------------===//

void TargetDirectory::setPools(
    const std::unordered_map<core::PoolName, Pool> &Pools,
    core::TimePoint Now) {
  bool HadWarmUps = !m_WarmUpPools.empty();
  m_WarmUpPools.clear();
  for (const auto &[Name, Each] : Pools)
    if (Each.m_WarmUpPerSecond > 0)
      m_WarmUpPools.emplace(Name, Each);
  if (!HadWarmUps && m_WarmUpPools.empty())
    return;
  // Targets may have been announced before the configuration.
  for (const auto &[Name, Known] : m_Targets)
    applyWarmUp(Known, Now);
}

void TargetDirectory::applyWarmUp(const KnownTarget &Known,
                                  core::TimePoint Now) {
  auto Policy = m_WarmUpPools.find(Known.m_Target.m_Pool);
  std::optional<WarmUp> Limit;
  if (Policy != m_WarmUpPools.end()) {
    core::TimePoint Until = Known.m_StatedWarmUpUntil;
    if (Known.m_AssumedWarmUpSince)
      Until = std::max(Until, *Known.m_AssumedWarmUpSince +
                                  Policy->second.m_WarmUpTime);
    if (Now < Until)
      Limit = WarmUp{Policy->second.m_WarmUpPerSecond, Until};
  }
  m_Throttles.setWarmUp(Known.m_Target.incarnation(), Limit, Now);
}

void TargetDirectory::setStatedWarmUp(const core::TargetName &Name,
                                      core::TimePoint Until,
                                      core::TimePoint Now) {
  KnownTarget *Known = find(Name);
  if (!Known || (Until <= Now && Known->m_StatedWarmUpUntil <= Now))
    return;
  Known->m_StatedWarmUpUntil = Until;
  applyWarmUp(*Known, Now);
}

void TargetDirectory::assumeWarmUp(const core::TargetName &Name,
                                   core::TimePoint Now) {
  if (KnownTarget *Known = find(Name))
    assumeWarmUp(*Known, Now);
}

void TargetDirectory::assumeWarmUp(KnownTarget &Known, core::TimePoint Now) {
  Known.m_AssumedWarmUpSince = Now;
  applyWarmUp(Known, Now);
}

bool TargetDirectory::setDrained(const core::DataHallName &Hall, bool IsDrained,
                                 core::TimePoint Now) {
  if (IsDrained)
    return m_DrainedHalls.insert(Hall).second;
  if (m_DrainedHalls.erase(Hall) == 0)
    return false;
  for (auto &[Name, Known] : m_Targets)
    if (Known.m_Target.m_DataHall == Hall)
      assumeWarmUp(Known, Now);
  return true;
}

bool TargetDirectory::isInRegions(const KnownTarget &Known,
                                  const AllowedRegions &Allowed) const {
  if (!Allowed)
    return true;
  auto Region = m_Regions.find(Known.m_Target.m_DataHall);
  return Region != m_Regions.end() && Allowed->count(Region->second) != 0;
}

//===----------------------------------------------------------------------===//
// Outcomes of requests
//===----------------------------------------------------------------------===//

bool TargetDirectory::tryStartRequest(const TargetIncarnation &Incarnation,
                                      std::uint32_t PromptTokens,
                                      core::TimePoint Now) {
  KnownTarget *Known = findByIncarnation(Incarnation);
  if (!Known || !acceptsRequests(*Known, Now))
    return false;
  ++Known->m_LocalLoad.m_Running;
  m_Busy.insert(Known);
  Known->m_LocalLoad.m_PendingPromptTokens += PromptTokens;
  m_Throttles.recordSent(Incarnation, Now);
  return true;
}

void TargetDirectory::recordFirstEvent(const TargetIncarnation &Incarnation,
                                       std::uint32_t PromptTokens) {
  KnownTarget *Known = findByIncarnation(Incarnation);
  if (!Known)
    return;
  Known->m_ConsecutiveFailures = 0;
  Known->m_LocalLoad.subtractPromptTokens(PromptTokens);
}

void TargetDirectory::recordReplacement(const TargetIncarnation &Incarnation) {
  if (KnownTarget *Known = findByIncarnation(Incarnation))
    Known->m_IsReplaced = true;
}

void TargetDirectory::recordEnd(const TargetIncarnation &Incarnation,
                                std::uint32_t PendingPromptTokens) {
  KnownTarget *Known = findByIncarnation(Incarnation);
  if (!Known || Known->m_LocalLoad.m_Running == 0)
    return;
  if (--Known->m_LocalLoad.m_Running == 0)
    m_Busy.erase(Known);
  Known->m_LocalLoad.subtractPromptTokens(PendingPromptTokens);
}

bool TargetDirectory::reserveSlot(const TargetIncarnation &Incarnation) {
  KnownTarget *Known = findByIncarnation(Incarnation);
  if (!Known)
    return false;
  ++Known->m_ReservedSlots;
  ++Known->m_LocalLoad.m_Running;
  m_Busy.insert(Known);
  return true;
}

void TargetDirectory::releaseSlot(const TargetIncarnation &Incarnation) {
  KnownTarget *Known = findByIncarnation(Incarnation);
  // A target that was removed and announced again holds no reservation.
  if (!Known || Known->m_ReservedSlots == 0)
    return;
  --Known->m_ReservedSlots;
  recordEnd(Incarnation, 0);
}

void TargetDirectory::recordFailure(const TargetIncarnation &Incarnation,
                                    TargetFailure Failure,
                                    core::TimePoint Now) {
  KnownTarget *Known = findByIncarnation(Incarnation);
  if (!Known)
    return;
  if (Failure == TargetFailure::Refused)
    pauseAfterRejection(*Known, Now);
  Known->m_FailureRate += FailureWeight * (1 - Known->m_FailureRate);
  unsigned Doublings = std::min(Known->m_ConsecutiveFailures, 5U);
  ++Known->m_ConsecutiveFailures;
  // A target that runs requests but fails some is still useful.
  if (Failure == TargetFailure::Failed && Doublings == 0)
    return;
  core::Duration Cooldown = std::min<core::Duration>(
      InitialCooldown * (1U << Doublings), MaxCooldown);
  Known->m_CooldownUntil = Now + Cooldown;
}

void TargetDirectory::setMaxRejections(const TargetIncarnation &Incarnation,
                                       std::optional<double> PerSecond) {
  if (!PerSecond && !m_HasMaxRejections)
    return;
  m_HasMaxRejections = true;
  if (KnownTarget *Known = findByIncarnation(Incarnation))
    Known->m_MaxRejectionsPerSecond = PerSecond;
}

void TargetDirectory::pauseAfterRejection(KnownTarget &Known,
                                          core::TimePoint Now) {
  if (!Known.m_MaxRejectionsPerSecond)
    return;
  std::size_t Instances =
      std::max<std::size_t>(1, subsetInstances(Known.m_Target.m_Pool).size());
  double PerSecond =
      *Known.m_MaxRejectionsPerSecond / static_cast<double>(Instances);
  core::Duration Pause = MaxRejectionPause;
  if (PerSecond * core::toSeconds(MaxRejectionPause) > 1)
    Pause = core::fromSeconds(1 / PerSecond);
  Known.m_RejectionPauseUntil = Now + Pause;
}

void TargetDirectory::forgetFailures(const core::PoolName &Pool) {
  for (KnownTarget *Each : subsetOf(Pool)) {
    Each->m_FailureRate = 0;
    Each->m_ConsecutiveFailures = 0;
    Each->m_CooldownUntil = core::TimePoint();
  }
}

void TargetDirectory::recordSuccess(const TargetIncarnation &Incarnation) {
  KnownTarget *Known = findByIncarnation(Incarnation);
  if (!Known)
    return;
  Known->m_FailureRate -= FailureWeight * Known->m_FailureRate;
  Known->m_ConsecutiveFailures = 0;
}

void TargetDirectory::recordServiceTime(const TargetIncarnation &Incarnation,
                                        core::Duration ServiceTime) {
  KnownTarget *Known = findByIncarnation(Incarnation);
  if (!Known)
    return;
  double Ms = core::toSeconds(ServiceTime) * 1000;
  Known->m_ServiceTimeMs =
      Known->m_ServiceTimeMs == 0
          ? Ms
          : Known->m_ServiceTimeMs +
                ServiceTimeWeight * (Ms - Known->m_ServiceTimeMs);
  updateSlowness(Known->m_Target.m_Pool);
}

void TargetDirectory::recordFirstEventTime(const core::PoolName &Pool,
                                           core::Duration Time) {
  m_Pools[Pool].m_FirstEventEstimate.add(Time);
}

core::Duration
TargetDirectory::expectedFirstEventTime(const core::PoolName &Pool) const {
  auto Found = m_Pools.find(Pool);
  return Found == m_Pools.end()
             ? FirstEventEstimate().upperBound()
             : Found->second.m_FirstEventEstimate.upperBound();
}

void TargetDirectory::updateSlowness(const core::PoolName &Pool) {
  std::vector<double> ServiceTimes;
  for (const KnownTarget *Each : subsetOf(Pool))
    if (Each->m_ServiceTimeMs > 0)
      ServiceTimes.push_back(Each->m_ServiceTimeMs);
  if (ServiceTimes.empty())
    return;
  auto Middle =
      ServiceTimes.begin() + static_cast<long>(ServiceTimes.size() / 2);
  std::nth_element(ServiceTimes.begin(), Middle, ServiceTimes.end());
  for (KnownTarget *Each : subsetOf(Pool))
    if (Each->m_ServiceTimeMs > 0)
      Each->m_Slowness =
          std::clamp(Each->m_ServiceTimeMs / *Middle, MinSlowness, MaxSlowness);
}

void TargetDirectory::setRemoteLoad(
    const std::unordered_map<std::uint32_t, TargetLoad> &Sums) {
  for (KnownTarget *Each : m_RemotelyBusy)
    Each->m_RemoteLoad = TargetLoad();
  m_RemotelyBusy.clear();
  for (const auto &[Hash, Load] : Sums) {
    auto [First, End] = m_ByHash.equal_range(Hash);
    for (auto Each = First; Each != End; ++Each) {
      Each->second->m_RemoteLoad = Load;
      m_RemotelyBusy.push_back(Each->second);
    }
  }
}

//===----------------------------------------------------------------------===//
// Lookup and subsets
//===----------------------------------------------------------------------===//

bool TargetDirectory::isLeaving(const TargetIncarnation &Incarnation) const {
  auto Found = m_Targets.find(Incarnation.m_Name);
  if (Found == m_Targets.end() ||
      Found->second.m_Target.m_StartTime != Incarnation.m_StartTime)
    return true;
  const KnownTarget &Known = Found->second;
  return Known.m_Target.m_IsLeaving || m_Throttles.isLeaving(Incarnation) ||
         (Known.m_ExpiredAt && !areMostExpired());
}

KnownTarget *TargetDirectory::find(const core::TargetName &Name) {
  auto Found = m_Targets.find(Name);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

KnownTarget *
TargetDirectory::findByIncarnation(const TargetIncarnation &Incarnation) {
  KnownTarget *Known = find(Incarnation.m_Name);
  bool IsSame = Known && Known->m_Target.m_StartTime == Incarnation.m_StartTime;
  return IsSame ? Known : nullptr;
}

const std::vector<KnownTarget *> &
TargetDirectory::subsetOf(const core::PoolName &Pool) {
  static const std::vector<KnownTarget *> None;
  auto Found = m_Pools.find(Pool);
  if (Found == m_Pools.end())
    return None;
  if (!Found->second.m_IsSubsetValid)
    rebuildSubset(Found->second);
  return Found->second.m_SubsetTargets;
}

std::vector<KnownTarget *>
TargetDirectory::allTargetsOf(const core::PoolName &Pool) const {
  auto Found = m_Pools.find(Pool);
  if (Found == m_Pools.end())
    return {};
  return Found->second.m_Order.slice(0, Found->second.m_Order.size());
}

void TargetDirectory::setSubset(const FleetSubset &Subset) {
  m_FleetSubset = Subset;
  for (auto &[Name, Pool] : m_Pools)
    invalidateSubset(Pool);
}

void TargetDirectory::rebuildSubset(PoolState &Pool) const {
  Pool.m_IsSubsetValid = true;
  Pool.m_SubsetTargets.clear();
  if (Pool.m_Order.size() == 0)
    return;
  FleetSubset::RankRange Range = m_FleetSubset.subsetRanks(Pool.m_Order.size());
  Pool.m_SubsetTargets = Pool.m_Order.slice(Range.m_First, Range.m_End);
  auto First =
      Pool.m_SubsetTargets.begin() +
      static_cast<long>(m_FleetSubset.firstIndex(Pool.m_SubsetTargets.size()));
  std::rotate(Pool.m_SubsetTargets.begin(), First, Pool.m_SubsetTargets.end());
}

std::size_t TargetDirectory::senderCount(const TargetIncarnation &Incarnation) {
  KnownTarget *Known = findByIncarnation(Incarnation);
  if (!Known)
    return 0;
  const core::PoolName &Pool = Known->m_Target.m_Pool;
  const auto &Own = subsetOf(Pool);
  if (std::find(Own.begin(), Own.end(), Known) == Own.end())
    return 0;
  std::size_t Count = targetCount(Pool);
  std::size_t Senders = std::min(SharedRateLimit::MaxSenders,
                                 m_FleetSubset.subsetInstances(Count).size());
  return m_FleetSubset.rendezvousRank(Known->m_Hash, Count) < Senders ? Senders
                                                                      : 0;
}

bool TargetDirectory::acceptsRequests(const KnownTarget &Known,
                                      core::TimePoint Now) {
  return isOpen(Known) && Known.m_RejectionPauseUntil <= Now &&
         (m_Throttles.isEmpty() ||
          m_Throttles.acceptsRequests(Known.m_Target.incarnation(), Now));
}

std::optional<core::TimePoint> TargetDirectory::availableAt(
    const core::PoolName &Pool, std::size_t Ahead, core::TimePoint Now,
    const std::function<bool(const KnownTarget &)> &MayUse) {
  if (m_Throttles.isEmpty())
    return std::nullopt;
  std::optional<core::TimePoint> First;
  auto KeepEarliest = [&First](core::TimePoint At) {
    First = First ? std::min(*First, At) : At;
  };
  std::optional<core::TimePoint> FirstLimited;
  double PerSecond = 0;
  for (const KnownTarget *Each : subsetOf(Pool)) {
    TargetIncarnation Incarnation = Each->m_Target.incarnation();
    if (!isOpen(*Each) || (MayUse && !MayUse(*Each)))
      continue;
    auto Next = m_Throttles.availability(Incarnation, Now);
    if (Next && Next->m_At <= Now)
      return std::nullopt;
    if (Next && !Next->m_PerSecond)
      KeepEarliest(Next->m_At);
    if (!Next || !Next->m_PerSecond)
      continue;
    FirstLimited =
        FirstLimited ? std::min(*FirstLimited, Next->m_At) : Next->m_At;
    PerSecond += *Next->m_PerSecond;
  }
  if (FirstLimited)
    KeepEarliest(*FirstLimited +
                 core::fromSeconds(static_cast<double>(Ahead) / PerSecond));
  return First;
}

std::size_t TargetDirectory::targetCount(const core::PoolName &Pool) const {
  auto Found = m_Pools.find(Pool);
  return Found == m_Pools.end() ? 0 : Found->second.m_Order.size();
}

std::size_t TargetDirectory::visitCount() const {
  std::size_t Out = 0;
  for (const auto &[Name, Pool] : m_Pools)
    Out += Pool.m_Order.visitCount();
  return Out;
}

} // namespace yardrill::routing
