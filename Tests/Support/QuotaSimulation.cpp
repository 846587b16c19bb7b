#include "QuotaSimulation.h"

#include "LibGateway/FleetMembership.h"
#include "LibGateway/QuotaOwnership.h"
#include "LibRouting/DistributedQuota.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace yardrill::tests {

using routing::DistributedQuota;
using routing::QuotaStep;

/// Share of lost datagrams; the others take one step.
static constexpr double LossShare = 0.01;
/// Time from the start of an instance until it has read the store.
static constexpr std::chrono::milliseconds MinReadTime{50};
static constexpr std::chrono::milliseconds MaxReadTime{300};
/// Time until an instance that is cut off from the store and from some others
/// detects that: its watch of the store fails, and the reports of its group
/// peers are missing.
static constexpr std::chrono::milliseconds MinDetectionTime{700};
static constexpr std::chrono::milliseconds MaxDetectionTime{3300};
/// Time without the store in which an owner does not need its witnesses; see
/// PeerExchange::ownershipEvidence().
static constexpr std::chrono::seconds WitnessTime{2};
/// Limit on the delay until an instance learns of a change of the lists.
static constexpr std::chrono::milliseconds MaxPropagationTime{500};
/// Period at which the writer compares the lists with the reports.
static constexpr std::chrono::milliseconds UpkeepPeriod{250};
/// Time for which an instance that is no longer heard counts as live.
static constexpr std::chrono::seconds PeerTimeout{10};

namespace {

/// Request or response between an instance and an owner.
struct Datagram {
  std::size_t m_From = 0;
  std::uint64_t m_Acquisition = 0;
  bool m_IsResponse = false;
  bool m_IsCharge = false;
  routing::QuotaRequest m_Request;
  routing::QuotaResponse m_Response;
};

struct CallerRequest {
  std::size_t m_Account = 0;
  std::uint32_t m_Tokens = 0;
};

/// Lists of instances, as the store or an instance has them.
struct InstanceLists {
  platform::Revision m_Revision;
  gateway::FleetMembers m_Members;
  platform::Revision m_MembersAt; ///< Revision of m_Members.
  gateway::FleetMembers m_Owners;
  platform::Revision m_OwnersAt; ///< Revision of m_Owners.
  gateway::FleetMembers m_Leaseholders;
  gateway::FleetMembers m_Departed;
};

struct PendingAcquisition {
  std::size_t m_Instance = 0;
  std::size_t m_Account = 0;
  routing::QuotaAcquisition m_Acquisition;
  core::TimePoint m_SentAt{};
};

} // namespace

std::vector<TokenGrant> fullestWindow(const std::vector<TokenGrant> &Grants,
                                      core::Duration Window) {
  double Max = 0;
  double Sum = 0;
  std::size_t First = 0;
  std::size_t MaxFirst = 0;
  std::size_t MaxEnd = 0;
  for (std::size_t Last = 0; Last < Grants.size(); ++Last) {
    Sum += Grants[Last].m_Tokens;
    while (Grants[Last].m_At - Grants[First].m_At > Window)
      Sum -= Grants[First++].m_Tokens;
    if (Sum <= Max)
      continue;
    Max = Sum;
    MaxFirst = First;
    MaxEnd = Last + 1;
  }
  return {Grants.begin() + static_cast<std::ptrdiff_t>(MaxFirst),
          Grants.begin() + static_cast<std::ptrdiff_t>(MaxEnd)};
}

double maxInWindow(const std::vector<TokenGrant> &Grants,
                   core::Duration Window) {
  double Sum = 0;
  for (const TokenGrant &Each : fullestWindow(Grants, Window))
    Sum += Each.m_Tokens;
  return Sum;
}

struct QuotaSimulation::Model {
  /// Instances share lists and rings, which are large.
  using SharedLists = std::shared_ptr<const InstanceLists>;
  using SharedRings = std::shared_ptr<const routing::QuotaRings>;
  inline static const SharedRings NoRings =
      std::make_shared<routing::QuotaRings>(routing::ConsistentHashRing());

  struct ModelInstance {
    config::Endpoint m_Address;
    std::unique_ptr<DistributedQuota> m_Quota; ///< Null while down.
    core::TimePoint m_DownUntil{};
    core::TimePoint m_StopsAt = core::TimePoint::max(); ///< Exit of a stop.
    core::TimePoint m_DownAfterStopUntil{};
    core::TimePoint m_ReadsAt{}; ///< Next update of lists and accounts.
    core::TimePoint m_HeardAt{}; ///< Last report that reached the writer.
    bool m_WasStopping = false;  ///< By that report.
    SharedLists m_Lists = std::make_shared<InstanceLists>(); ///< Read last.
    SharedRings m_Rings = NoRings;
    /// Made when they are needed first, as that takes long.
    mutable std::optional<gateway::QuotaWitnesses> m_Witnesses;
    /// Its share of each account.
    std::vector<std::optional<routing::QuotaShare>> m_Shares;
    core::TimePoint m_LeaseRenewedAt{};
    bool m_IsMember = false; ///< By its own lists.
    bool m_HasRead = false;
    core::TimePoint m_FrozenUntil{};
    core::TimePoint m_CutUntil{};
    core::TimePoint m_SplitUntil{}; ///< End of the split.
    core::TimePoint m_DetectsLossAt = core::TimePoint::max();
    std::deque<Datagram> m_Inbox;
    std::vector<CallerRequest> m_DelayedRequests; ///< Received while frozen.
  };

  QuotaSimulationSettings m_Settings;
  core::TimePoint m_Now{std::chrono::hours(1)};
  std::mt19937_64 m_Random;
  InstanceLists m_Stored{platform::Revision(1),
                         {},
                         platform::Revision(1),
                         {},
                         platform::Revision(1)};
  SharedLists m_Published = std::make_shared<InstanceLists>();
  SharedRings m_MemberRings = NoRings;
  platform::Revision m_MemberRingsOf;    ///< Revision of the lists.
  std::size_t m_Writer = 0;              ///< Instance that writes the lists.
  gateway::QuotaOwnership m_Ownership;   ///< Of the writer.
  gateway::FleetMembership m_Membership; ///< Of the writer.
  std::size_t m_OwnerChanges = 0;
  core::TimePoint m_UpkeepAt{};
  core::TimePoint m_StoreLostUntil{};
  std::vector<ModelInstance> m_Instances;
  std::map<config::Endpoint, std::size_t> m_Indexes; ///< By address.
  std::map<std::uint64_t, PendingAcquisition> m_Pending;
  std::uint64_t m_NextAcquisition = 1;
  std::vector<std::vector<TokenGrant>> m_Grants;
  std::vector<std::array<std::size_t, 2>> m_Refused; ///< By whether cut off.

  bool canReach(const ModelInstance &From, const ModelInstance &To) const {
    bool IsSplit = (From.m_SplitUntil > m_Now) != (To.m_SplitUntil > m_Now);
    return !IsSplit && From.m_CutUntil <= m_Now && To.m_CutUntil <= m_Now;
  }

  bool isStoreReached(const ModelInstance &Instance) const {
    return std::max({Instance.m_CutUntil, Instance.m_SplitUntil,
                     m_StoreLostUntil}) <= m_Now;
  }
  bool hasDetectedLoss(const ModelInstance &Instance) const {
    return !isStoreReached(Instance) && Instance.m_DetectsLossAt <= m_Now;
  }
  bool isRunning(const ModelInstance &Instance) const {
    return Instance.m_Quota && Instance.m_HasRead &&
           Instance.m_FrozenUntil <= m_Now;
  }
  /// See PeerExchange::ownershipEvidence().
  routing::OwnershipEvidence evidence(const ModelInstance &Instance) const {
    if (!hasDetectedLoss(Instance))
      return routing::OwnershipEvidence::Store;
    if (isStopping(Instance))
      return routing::OwnershipEvidence::None;
    return witnessesOf(Instance).areEnough(agreeingWitnesses(Instance)) ||
                   m_Now - Instance.m_DetectsLossAt <= WitnessTime
               ? routing::OwnershipEvidence::Witnesses
               : routing::OwnershipEvidence::None;
  }
  const gateway::QuotaWitnesses &
  witnessesOf(const ModelInstance &Instance) const {
    const InstanceLists &Lists = *Instance.m_Lists;
    if (!Instance.m_Witnesses)
      Instance.m_Witnesses.emplace(Instance.m_Address, Lists.m_Owners,
                                   Lists.m_Members);
    return *Instance.m_Witnesses;
  }
  std::size_t agreeingWitnesses(const ModelInstance &Instance) const {
    const gateway::QuotaWitnesses &Witnesses = witnessesOf(Instance);
    return static_cast<std::size_t>(std::count_if(
        Witnesses.m_Permanent.begin(), Witnesses.m_Permanent.end(),
        [this, &Instance](const config::Endpoint &Each) {
          const ModelInstance &Witness = m_Instances[m_Indexes.at(Each)];
          return isRunning(Witness) && canReach(Instance, Witness) &&
                 !(Instance.m_Lists->m_Revision < Witness.m_Lists->m_Revision);
        }));
  }
  /// See PeerExchange::hasQuotaLease().
  bool hasLease(const ModelInstance &Instance) const {
    return m_Now - Instance.m_LeaseRenewedAt <= gateway::QuotaLeaseTime;
  }
  void renewLease(ModelInstance &Instance) const {
    if (!hasDetectedLoss(Instance) && Instance.m_IsMember)
      Instance.m_LeaseRenewedAt = m_Now;
  }
  /// Must be called before the instance loses the store.
  void scheduleLossDetection(ModelInstance &Instance) {
    if (isStoreReached(Instance))
      Instance.m_DetectsLossAt =
          m_Now + drawDuration(MinDetectionTime, MaxDetectionTime);
  }

  core::Duration drawDuration(core::Duration Min, core::Duration Max) {
    std::uniform_int_distribution<std::int64_t> Draw(Min.count(), Max.count());
    return core::Duration(Draw(m_Random));
  }

  void add(bool IsFirstStart) {
    std::size_t Index = m_Instances.size();
    ModelInstance New;
    New.m_Address = {"10.1." + std::to_string(Index / 200) + "." +
                         std::to_string(Index % 200 + 10),
                     7600};
    m_Indexes.emplace(New.m_Address, Index);
    if (IsFirstStart || !m_Settings.m_HasWriter)
      m_Stored.m_Members.emplace(New.m_Address, core::DataHallName("hall"));
    if (IsFirstStart)
      m_Stored.m_Owners = m_Stored.m_Leaseholders = m_Stored.m_Members;
    else if (!m_Settings.m_HasWriter)
      announceMembers();
    m_Instances.push_back(std::move(New));
    start(m_Instances.back(), IsFirstStart);
  }

  void announceMembers() {
    announceLists();
    m_Stored.m_MembersAt = m_Stored.m_Revision;
  }
  /// Gives the lists in the store a new revision, and lets all instances read
  /// them.
  void announceLists() {
    m_Stored.m_Revision = platform::Revision(m_Stored.m_Revision.value() + 1);
    for (ModelInstance &Each : m_Instances)
      Each.m_ReadsAt =
          std::min(Each.m_ReadsAt,
                   m_Now + drawDuration(core::Duration(0), MaxPropagationTime));
  }

  void start(ModelInstance &Instance, bool IsFirstStart) {
    Instance.m_Quota = std::make_unique<DistributedQuota>(
        Instance.m_Address, m_Settings.m_Tolerance, IsFirstStart, m_Random());
    Instance.m_HasRead = false;
    Instance.m_LeaseRenewedAt = core::TimePoint();
    Instance.m_ReadsAt = m_Now;
    if (!IsFirstStart)
      Instance.m_ReadsAt += drawDuration(MinReadTime, MaxReadTime);
  }

  /// Applies the lists and, after a start, the accounts.
  void readStore(ModelInstance &Instance) {
    if (m_Published->m_Revision != m_Stored.m_Revision)
      m_Published = std::make_shared<InstanceLists>(m_Stored);
    readLists(Instance, m_Published);
    if (!Instance.m_HasRead)
      Instance.m_Quota->setAccounts(m_Settings.m_Accounts, m_Now);
    Instance.m_HasRead = true;
    Instance.m_ReadsAt = core::TimePoint::max();
  }

  void readLists(ModelInstance &Instance, SharedLists Lists) {
    Instance.m_Lists = std::move(Lists);
    const InstanceLists &Read = *Instance.m_Lists;
    Instance.m_IsMember = Read.m_Members.count(Instance.m_Address) != 0;
    // All members derive the same rings.
    if (Instance.m_IsMember && m_MemberRingsOf != Read.m_Revision) {
      m_MemberRings = ringsOf(Instance);
      m_MemberRingsOf = Read.m_Revision;
    }
    Instance.m_Rings = Instance.m_IsMember ? m_MemberRings : ringsOf(Instance);
    Instance.m_Witnesses.reset();
    updateShares(Instance);
    Instance.m_Quota->setRing(*Instance.m_Rings, m_Now);
  }

  static SharedRings ringsOf(const ModelInstance &Instance) {
    const InstanceLists &Lists = *Instance.m_Lists;
    return std::make_shared<routing::QuotaRings>(gateway::ringsOf(
        Instance.m_Address, {Lists.m_Owners, Lists.m_Leaseholders},
        Lists.m_Members));
  }

  /// Lets the first instance that runs and reaches the store write the lists of
  /// owners, by what it hears of the others.
  void updateOwners() {
    m_UpkeepAt = m_Now + UpkeepPeriod;
    auto Writer = std::find_if(m_Instances.begin(), m_Instances.end(),
                               [this](const ModelInstance &Each) {
                                 return isRunning(Each) && isStoreReached(Each);
                               });
    if (Writer == m_Instances.end())
      return;
    auto Index = static_cast<std::size_t>(Writer - m_Instances.begin());
    if (Index != m_Writer) {
      m_Ownership = gateway::QuotaOwnership();
      m_Membership = gateway::FleetMembership();
    }
    m_Writer = Index;
    m_Ownership.setMembers(m_Stored.m_Members, m_Stored.m_MembersAt);
    m_Ownership.setOwners(m_Stored.m_Owners, m_Stored.m_OwnersAt);
    m_Ownership.setLeaseholders(m_Stored.m_Leaseholders);
    gateway::MemberReports Live;
    for (ModelInstance &Each : m_Instances) {
      if (isRunning(Each) && canReach(*Writer, Each)) {
        Each.m_HeardAt = m_Now;
        Each.m_WasStopping = isStopping(Each);
      }
      if (m_Now - Each.m_HeardAt < PeerTimeout)
        Live[Each.m_Address] = {Each.m_Lists->m_Revision, Each.m_WasStopping};
    }
    if (m_Settings.m_HasWriter)
      updateMembers(Live);
    auto Owners = m_Ownership.proposeUpdate(Live, m_Now);
    auto Leaseholders = m_Ownership.proposeLeaseholders(m_Now);
    if (Owners) {
      m_Stored.m_Owners = *Owners;
      announceLists();
      m_Stored.m_OwnersAt = m_Stored.m_Revision;
    }
    if (Leaseholders) {
      m_Stored.m_Leaseholders = *Leaseholders;
      announceLists();
    }
    m_OwnerChanges += (Owners ? 1 : 0) + (Leaseholders ? 1 : 0);
  }

  void updateMembers(const gateway::MemberReports &Live) {
    gateway::FleetMembers Heard;
    for (const auto &[Address, Report] : Live)
      Heard.emplace(Address, core::DataHallName("hall"));
    m_Membership.setRecorded(m_Stored.m_Members);
    m_Membership.setDeparted(m_Stored.m_Departed);
    auto Departed = m_Membership.proposeDepartures(
        Live, [this](const config::Endpoint &Instance) {
          return m_Ownership.isListed(Instance);
        });
    m_Stored.m_Departed = Departed.value_or(m_Stored.m_Departed);
    m_Membership.setDeparted(m_Stored.m_Departed);
    m_Ownership.setDeparted(m_Stored.m_Departed);
    auto Next = m_Membership.proposeUpdate(Heard, m_Now, PeerTimeout);
    if (!Next)
      return;
    m_Stored.m_Members = *Next;
    announceMembers();
    m_Ownership.setMembers(m_Stored.m_Members, m_Stored.m_MembersAt);
  }

  bool isStopping(const ModelInstance &Instance) const {
    return Instance.m_StopsAt != core::TimePoint::max();
  }

  void kill(ModelInstance &Killed, core::TimePoint DownUntil) {
    Killed.m_Quota.reset();
    Killed.m_Inbox.clear();
    Killed.m_DelayedRequests.clear();
    Killed.m_FrozenUntil = core::TimePoint();
    Killed.m_DownUntil = DownUntil;
    Killed.m_StopsAt = core::TimePoint::max();
    auto Index = static_cast<std::size_t>(&Killed - m_Instances.data());
    if (Index == m_Writer)
      m_Writer = m_Instances.size();
    for (auto Each = m_Pending.begin(); Each != m_Pending.end();)
      Each = Each->second.m_Instance == Index ? m_Pending.erase(Each)
                                              : std::next(Each);
  }

  /// Lets instances without the store read the lists of peers that know newer
  /// ones.
  void fetchFromPeers() {
    for (ModelInstance &Each : m_Instances) {
      if (!isRunning(Each) || isStoreReached(Each))
        continue;
      for (const ModelInstance &Peer : m_Instances)
        if (isRunning(Peer) && canReach(Each, Peer) &&
            Each.m_Lists->m_Revision < Peer.m_Lists->m_Revision)
          readLists(Each, Peer.m_Lists);
    }
  }

  void send(std::size_t To, const Datagram &Message) {
    std::uniform_real_distribution<double> Chance(0, 1);
    ModelInstance &Receiver = m_Instances[To];
    if (Receiver.m_Quota && canReach(m_Instances[Message.m_From], Receiver) &&
        Chance(m_Random) >= LossShare)
      Receiver.m_Inbox.push_back(Message);
  }

  void begin(std::size_t Instance, const CallerRequest &Request) {
    ModelInstance &At = m_Instances[Instance];
    if (!At.m_Quota || !At.m_HasRead)
      return;
    PendingAcquisition Pending;
    Pending.m_Instance = Instance;
    Pending.m_Account = Request.m_Account;
    Pending.m_Acquisition.m_Account =
        routing::hashOf(m_Settings.m_Accounts[Request.m_Account].m_Name);
    Pending.m_Acquisition.m_Tokens = Request.m_Tokens;
    std::uint64_t Id = m_NextAcquisition++;
    PendingAcquisition &Placed =
        m_Pending.emplace(Id, std::move(Pending)).first->second;
    applyStep(Id, At.m_Quota->begin(Placed.m_Acquisition, m_Now));
  }

  void applyStep(std::uint64_t Id, QuotaStep Step) {
    PendingAcquisition &Pending = m_Pending.at(Id);
    if (Step == QuotaStep::Ask) {
      Pending.m_SentAt = m_Now;
      Datagram Request;
      Request.m_From = Pending.m_Instance;
      Request.m_Acquisition = Id;
      Request.m_Request = {Pending.m_Acquisition.m_Account,
                           Pending.m_Acquisition.partTokens(), 0};
      return send(m_Indexes.at(Pending.m_Acquisition.m_RemainingOwners.back()),
                  Request);
    }
    if (Step == QuotaStep::Granted)
      recordGrant(Pending);
    else
      ++m_Refused[Pending.m_Account][isCutOff(Pending.m_Instance) ? 1 : 0];
    m_Pending.erase(Id);
  }

  bool isCutOff(std::size_t Instance) const {
    return m_Instances[Instance].m_CutUntil > m_Now;
  }

  void recordGrant(const PendingAcquisition &Pending) {
    const routing::QuotaAcquisition &Granted = Pending.m_Acquisition;
    TokenGrant Out;
    Out.m_At = m_Now;
    Out.m_Tokens = Granted.m_Tokens;
    Out.m_Instance = Pending.m_Instance;
    Out.m_IsCutOff = isCutOff(Pending.m_Instance);
    Out.m_IsIsolated = Granted.m_Source == routing::QuotaSource::Isolated;
    Out.m_Owner =
        Granted.m_Owner ? m_Indexes.at(*Granted.m_Owner) : Pending.m_Instance;
    Out.m_ListSize = m_Instances[Out.m_Owner].m_Rings->m_Owners.size();
    Out.m_HolderCount = holderCount(Pending.m_Account);
    m_Grants[Pending.m_Account].push_back(Out);
  }

  /// Returns the number of instances that would grant shares of the account.
  std::size_t holderCount(std::size_t Account) const {
    return static_cast<std::size_t>(
        std::count_if(m_Instances.begin(), m_Instances.end(),
                      [this, Account](const ModelInstance &Each) {
                        return isRunning(Each) && isHolder(Each, Account);
                      }));
  }

  bool isHolder(const ModelInstance &Instance, std::size_t Account) const {
    const auto &Share = Instance.m_Shares[Account];
    if (!Share || (Share->m_IsPartial && !hasLease(Instance)))
      return false;
    routing::OwnershipEvidence Evidence = evidence(Instance);
    return Evidence == routing::OwnershipEvidence::Store ||
           (Evidence == routing::OwnershipEvidence::Witnesses &&
            !Share->m_IsAtRisk);
  }

  void updateShares(ModelInstance &Instance) const {
    Instance.m_Shares.clear();
    for (const routing::Account &Each : m_Settings.m_Accounts)
      Instance.m_Shares.push_back(Instance.m_Rings->shareOf(
          routing::hashOf(Each.m_Name), Instance.m_Address));
  }

  routing::QuotaResponse charge(DistributedQuota &Quota,
                                const routing::QuotaRequest &Request) {
    routing::QuotaResponse Out;
    if (Quota.charge(Request.m_Account, Request.m_Tokens, m_Now))
      Out.m_Verdict = routing::QuotaVerdict::Granted;
    return Out;
  }

  void sendCharges(std::size_t Instance) {
    for (const routing::QuotaCharge &Each :
         m_Instances[Instance].m_Quota->takeCharges()) {
      Datagram Charge;
      Charge.m_From = Instance;
      Charge.m_IsCharge = true;
      Charge.m_Request = {Each.m_Account, Each.m_Tokens, 0};
      send(m_Indexes.at(Each.m_Owner), Charge);
    }
  }

  void handleDatagram(std::size_t Instance, const Datagram &Received) {
    DistributedQuota &Quota = *m_Instances[Instance].m_Quota;
    if (!Received.m_IsResponse) {
      Datagram Response;
      Response.m_From = Instance;
      Response.m_Acquisition = Received.m_Acquisition;
      Response.m_IsResponse = true;
      Response.m_Request = Received.m_Request;
      Response.m_IsCharge = Received.m_IsCharge;
      Response.m_Response =
          Received.m_IsCharge ? charge(Quota, Received.m_Request)
                              : Quota.handleRequest(Received.m_Request, m_Now);
      return send(Received.m_From, Response);
    }
    if (Received.m_IsCharge) {
      if (Received.m_Response.m_Verdict == routing::QuotaVerdict::Granted)
        Quota.settleCharge(Received.m_Request.m_Account,
                           Received.m_Request.m_Tokens, m_Now);
      return;
    }
    auto Pending = m_Pending.find(Received.m_Acquisition);
    const config::Endpoint &Owner = m_Instances[Received.m_From].m_Address;
    bool IsPending =
        Pending != m_Pending.end() &&
        Pending->second.m_Acquisition.m_RemainingOwners.back() == Owner;
    if (IsPending)
      return applyStep(Received.m_Acquisition,
                       Quota.handleResponse(Pending->second.m_Acquisition,
                                            Received.m_Response, m_Now));
    Quota.cacheGrant(Owner, Received.m_Request.m_Account,
                     Received.m_Response.m_Tokens, m_Now);
  }

  void expirePending() {
    std::vector<std::uint64_t> TimedOut;
    for (const auto &[Id, Pending] : m_Pending)
      if (m_Now - Pending.m_SentAt > DistributedQuota::ResponseTimeout &&
          m_Instances[Pending.m_Instance].m_FrozenUntil <= m_Now)
        TimedOut.push_back(Id);
    for (std::uint64_t Id : TimedOut) {
      PendingAcquisition &Pending = m_Pending.at(Id);
      DistributedQuota &Quota = *m_Instances[Pending.m_Instance].m_Quota;
      applyStep(Id, Quota.handleTimeout(Pending.m_Acquisition, m_Now));
    }
  }

  void returnUnusedGrants(std::size_t Instance) {
    for (const routing::QuotaReturn &Each :
         m_Instances[Instance].m_Quota->takeUnusedGrants(m_Now)) {
      Datagram Return;
      Return.m_From = Instance;
      Return.m_Request = {Each.m_Account, 0, Each.m_Tokens};
      send(m_Indexes.at(Each.m_Owner), Return);
    }
  }

  void step() {
    m_Now += StepTime;
    std::vector<std::deque<Datagram>> Inboxes(m_Instances.size());
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      if (m_Instances[I].m_FrozenUntil <= m_Now)
        Inboxes[I].swap(m_Instances[I].m_Inbox);
    for (std::size_t I = 0; I < m_Instances.size(); ++I) {
      ModelInstance &Each = m_Instances[I];
      if (Each.m_FrozenUntil > m_Now)
        continue;
      if (Each.m_Quota && Each.m_StopsAt <= m_Now)
        kill(Each, Each.m_DownAfterStopUntil);
      if (!Each.m_Quota && Each.m_DownUntil <= m_Now)
        start(Each, false);
      if (!Each.m_Quota)
        continue;
      renewLease(Each);
      Each.m_Quota->setEvidence(evidence(Each));
      Each.m_Quota->setLease(hasLease(Each), m_Now);
      // A running instance learns of added ones from its peers, a restarted one
      // from the store.
      bool CanRead = !Each.m_HasRead || isStoreReached(Each);
      if (Each.m_ReadsAt <= m_Now && CanRead)
        readStore(Each);
      for (const CallerRequest &Delayed :
           std::exchange(Each.m_DelayedRequests, {}))
        begin(I, Delayed);
      for (const Datagram &Received : Inboxes[I])
        handleDatagram(I, Received);
      returnUnusedGrants(I);
      sendCharges(I);
    }
    expirePending();
    if (m_UpkeepAt > m_Now)
      return;
    updateOwners();
    fetchFromPeers();
  }
};

QuotaSimulation::QuotaSimulation(const QuotaSimulationSettings &Settings)
    : m_Model(std::make_unique<Model>()) {
  Model &M = *m_Model;
  M.m_Settings = Settings;
  M.m_Random.seed(Settings.m_Seed);
  M.m_Grants.resize(Settings.m_Accounts.size());
  M.m_Refused.resize(Settings.m_Accounts.size());
  for (std::size_t I = 0; I < Settings.m_Size; ++I)
    M.add(true);
  for (Model::ModelInstance &Each : M.m_Instances)
    M.readStore(Each);
}

QuotaSimulation::~QuotaSimulation() = default;

core::TimePoint QuotaSimulation::now() const { return m_Model->m_Now; }

std::size_t QuotaSimulation::size() const {
  return m_Model->m_Instances.size();
}

void QuotaSimulation::advance(core::Duration Time) {
  core::TimePoint Until = m_Model->m_Now + Time;
  while (m_Model->m_Now < Until)
    m_Model->step();
}

void QuotaSimulation::request(std::size_t Instance, std::size_t Account,
                              std::uint32_t Tokens) {
  Model &M = *m_Model;
  Model::ModelInstance &At = M.m_Instances[Instance];
  if (At.m_FrozenUntil > now())
    return At.m_DelayedRequests.push_back({Account, Tokens});
  M.begin(Instance, {Account, Tokens});
}

void QuotaSimulation::kill(std::size_t Instance, core::Duration Down) {
  m_Model->kill(m_Model->m_Instances[Instance], now() + Down);
}

void QuotaSimulation::cut(std::size_t Instance, core::Duration Time) {
  Model::ModelInstance &Affected = m_Model->m_Instances[Instance];
  m_Model->scheduleLossDetection(Affected);
  Affected.m_CutUntil = now() + Time;
}

void QuotaSimulation::split(const std::vector<std::size_t> &Instances,
                            core::Duration Time) {
  for (std::size_t Index : Instances) {
    Model::ModelInstance &Each = m_Model->m_Instances[Index];
    m_Model->scheduleLossDetection(Each);
    Each.m_SplitUntil = now() + Time;
  }
}

void QuotaSimulation::loseStore(core::Duration Time) {
  for (Model::ModelInstance &Each : m_Model->m_Instances)
    m_Model->scheduleLossDetection(Each);
  m_Model->m_StoreLostUntil = now() + Time;
}

void QuotaSimulation::freeze(std::size_t Instance, core::Duration Time) {
  m_Model->m_Instances[Instance].m_FrozenUntil = now() + Time;
}

void QuotaSimulation::add() { m_Model->add(false); }

void QuotaSimulation::remove(std::size_t Instance) {
  m_Model->m_Stored.m_Members.erase(m_Model->m_Instances[Instance].m_Address);
  m_Model->announceMembers();
}

void QuotaSimulation::join() { m_Model->add(false); }

void QuotaSimulation::stop(std::size_t Instance,
                           std::optional<core::Duration> Down) {
  Model::ModelInstance &Stopping = m_Model->m_Instances[Instance];
  Stopping.m_StopsAt = now() + StopTime;
  Stopping.m_DownAfterStopUntil =
      Down ? Stopping.m_StopsAt + *Down : core::TimePoint::max();
}

void QuotaSimulation::restart(std::size_t Instance) {
  m_Model->m_Instances[Instance].m_DownUntil = now();
}

bool QuotaSimulation::isReady(std::size_t Instance) const {
  const Model::ModelInstance &Each = m_Model->m_Instances[Instance];
  return m_Model->isRunning(Each) && !m_Model->isStopping(Each);
}

std::size_t QuotaSimulation::ownerChanges() const {
  return m_Model->m_OwnerChanges;
}

const std::vector<TokenGrant> &
QuotaSimulation::grants(std::size_t Account) const {
  return m_Model->m_Grants[Account];
}

std::size_t QuotaSimulation::refused(std::size_t Account, bool IsCutOff) const {
  return m_Model->m_Refused[Account][IsCutOff ? 1 : 0];
}

} // namespace yardrill::tests
