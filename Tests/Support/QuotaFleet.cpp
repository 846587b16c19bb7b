#include "QuotaFleet.h"

#include "LibRouting/DistributedQuota.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <utility>

namespace yardrill::tests {

using routing::DistributedQuota;
using routing::QuotaStep;

/// Of datagrams, each on its way for one step.
static constexpr double LossShare = 0.01;
/// From a process' start until it has read what the store holds.
static constexpr std::chrono::milliseconds LeastReadTime{50};
static constexpr std::chrono::milliseconds LongestReadTime{300};
/// Until one that is cut off, also from the store, knows that it would not hear
/// of a change: near peers are silent, and a watch of the store fails.
static constexpr std::chrono::milliseconds LeastNoticeTime{700};
static constexpr std::chrono::milliseconds LongestNoticeTime{3300};
/// Until an instance hears of one that was added.
static constexpr std::chrono::milliseconds LongestSpread{500};

namespace {

/// One way between an instance and an owner.
struct Datagram {
  std::size_t m_From = 0;
  std::uint64_t m_Draw = 0;
  bool m_IsAnswer = false;
  bool m_IsCharge = false;
  routing::QuotaRequest m_Ask;
  routing::QuotaResponse m_Response;
};

struct CallerRequest {
  std::size_t m_Account = 0;
  std::uint32_t m_Tokens = 0;
};

struct OpenDraw {
  std::size_t m_Instance = 0;
  std::size_t m_Account = 0;
  routing::QuotaAcquisition m_Draw;
  core::TimePoint m_AskedAt{};
};

} // namespace

double mostInWindow(const std::vector<AllowedDraw> &Draws,
                    core::Duration Window) {
  double Most = 0;
  double Sum = 0;
  std::size_t First = 0;
  for (const AllowedDraw &Last : Draws) {
    Sum += Last.m_Tokens;
    while (Last.m_At - Draws[First].m_At > Window)
      Sum -= Draws[First++].m_Tokens;
    Most = std::max(Most, Sum);
  }
  return Most;
}

struct QuotaFleet::Model {
  /// One instance.
  struct Member {
    config::Endpoint m_Address;
    std::unique_ptr<DistributedQuota> m_Book; ///< Null: down.
    core::TimePoint m_DownUntil{};
    core::TimePoint m_ReadsAt{}; ///< When it hears of the list and accounts.
    bool m_HasRead = false;
    core::TimePoint m_FrozenUntil{};
    core::TimePoint m_CutUntil{};
    core::TimePoint m_SplitUntil{}; ///< From those that are not split off.
    core::TimePoint m_NoticesAt = core::TimePoint::max(); ///< That it is cut.
    std::deque<Datagram> m_Inbox;
    std::vector<CallerRequest> m_Held; ///< Came while it stood still.
  };

  QuotaFleetSettings m_Settings;
  core::TimePoint m_Now{std::chrono::hours(1)};
  std::mt19937_64 m_Random;
  std::vector<config::Endpoint> m_Recorded; ///< What the store holds.
  std::vector<Member> m_Members;
  std::map<config::Endpoint, std::size_t> m_Indexes; ///< By address.
  std::map<std::uint64_t, OpenDraw> m_Open;
  std::uint64_t m_NextDraw = 1;
  std::vector<std::vector<AllowedDraw>> m_Allowed;
  std::vector<std::array<std::size_t, 2>> m_Refused; ///< 1: cut off.

  bool isReached(const Member &From, const Member &To) const {
    bool IsSplit = (From.m_SplitUntil > m_Now) != (To.m_SplitUntil > m_Now);
    return !IsSplit && From.m_CutUntil <= m_Now && To.m_CutUntil <= m_Now;
  }

  bool hasNoticedCut(const Member &Which) const {
    bool IsOff = std::max(Which.m_CutUntil, Which.m_SplitUntil) > m_Now;
    return IsOff && Which.m_NoticesAt <= m_Now;
  }
  void noteCut(Member &Which) {
    if (std::max(Which.m_CutUntil, Which.m_SplitUntil) <= m_Now)
      Which.m_NoticesAt = m_Now + between(LeastNoticeTime, LongestNoticeTime);
  }

  core::Duration between(core::Duration Least, core::Duration Most) {
    std::uniform_int_distribution<std::int64_t> Draw(Least.count(),
                                                     Most.count());
    return core::Duration(Draw(m_Random));
  }

  void add(bool IsFirst) {
    std::size_t Index = m_Members.size();
    Member New;
    New.m_Address = {"10.1." + std::to_string(Index / 200) + "." +
                         std::to_string(Index % 200 + 10),
                     7600};
    m_Indexes.emplace(New.m_Address, Index);
    m_Recorded.push_back(New.m_Address);
    m_Members.push_back(std::move(New));
    start(m_Members.back(), IsFirst);
  }

  void start(Member &Of, bool IsFirst) {
    Of.m_Book = std::make_unique<DistributedQuota>(
        Of.m_Address, m_Settings.m_Tolerance, IsFirst, m_Random());
    Of.m_HasRead = false;
    Of.m_ReadsAt = m_Now;
    if (!IsFirst)
      Of.m_ReadsAt += between(LeastReadTime, LongestReadTime);
  }

  /// Tells it the list of instances, and the accounts.
  void read(Member &Of) {
    Of.m_Book->setRing(routing::ConsistentHashRing(m_Recorded), m_Now);
    if (!Of.m_HasRead)
      Of.m_Book->setAccounts(m_Settings.m_Accounts, m_Now);
    Of.m_HasRead = true;
    Of.m_ReadsAt = core::TimePoint::max();
  }

  void send(std::size_t To, const Datagram &What) {
    std::uniform_real_distribution<double> Chance(0, 1);
    Member &Receiver = m_Members[To];
    if (Receiver.m_Book && isReached(m_Members[What.m_From], Receiver) &&
        Chance(m_Random) >= LossShare)
      Receiver.m_Inbox.push_back(What);
  }

  void begin(std::size_t Instance, const CallerRequest &Request) {
    Member &At = m_Members[Instance];
    if (!At.m_Book || !At.m_HasRead)
      return;
    OpenDraw Open;
    Open.m_Instance = Instance;
    Open.m_Account = Request.m_Account;
    Open.m_Draw.m_Account =
        routing::hashOf(m_Settings.m_Accounts[Request.m_Account].m_Name);
    Open.m_Draw.m_Tokens = Request.m_Tokens;
    std::uint64_t Id = m_NextDraw++;
    OpenDraw &Placed = m_Open.emplace(Id, std::move(Open)).first->second;
    settle(Id, At.m_Book->begin(Placed.m_Draw, m_Now));
  }

  void settle(std::uint64_t Id, QuotaStep Step) {
    OpenDraw &Open = m_Open.at(Id);
    if (Step == QuotaStep::Ask) {
      Open.m_AskedAt = m_Now;
      Datagram Ask;
      Ask.m_From = Open.m_Instance;
      Ask.m_Draw = Id;
      Ask.m_Ask = {Open.m_Draw.m_Account, Open.m_Draw.m_Tokens, 0};
      return send(m_Indexes.at(Open.m_Draw.m_RemainingOwners.back()), Ask);
    }
    bool IsCutOff = m_Members[Open.m_Instance].m_CutUntil > m_Now;
    if (Step == QuotaStep::Granted)
      m_Allowed[Open.m_Account].push_back(
          {m_Now, Open.m_Draw.m_Tokens, IsCutOff,
           Open.m_Draw.m_Source == routing::QuotaSource::Isolated});
    else
      ++m_Refused[Open.m_Account][IsCutOff ? 1 : 0];
    m_Open.erase(Id);
  }

  routing::QuotaResponse charge(DistributedQuota &Book,
                                const routing::QuotaRequest &Ask) {
    routing::QuotaResponse Out;
    if (Book.charge(Ask.m_Account, Ask.m_Tokens, m_Now))
      Out.m_Verdict = routing::QuotaVerdict::Granted;
    return Out;
  }

  void sendCharges(std::size_t Instance) {
    for (const routing::QuotaCharge &Each :
         m_Members[Instance].m_Book->takeCharges()) {
      Datagram Charge;
      Charge.m_From = Instance;
      Charge.m_IsCharge = true;
      Charge.m_Ask = {Each.m_Account, Each.m_Tokens, 0};
      send(m_Indexes.at(Each.m_Owner), Charge);
    }
  }

  void take(std::size_t Instance, const Datagram &What) {
    DistributedQuota &Book = *m_Members[Instance].m_Book;
    if (!What.m_IsAnswer) {
      Datagram Answer;
      Answer.m_From = Instance;
      Answer.m_Draw = What.m_Draw;
      Answer.m_IsAnswer = true;
      Answer.m_Ask = What.m_Ask;
      Answer.m_IsCharge = What.m_IsCharge;
      Answer.m_Response = What.m_IsCharge
                              ? charge(Book, What.m_Ask)
                              : Book.handleRequest(What.m_Ask, m_Now);
      return send(What.m_From, Answer);
    }
    if (What.m_IsCharge) {
      if (What.m_Response.m_Verdict == routing::QuotaVerdict::Granted)
        Book.settleCharge(What.m_Ask.m_Account, What.m_Ask.m_Tokens, m_Now);
      return;
    }
    auto Open = m_Open.find(What.m_Draw);
    const config::Endpoint &Owner = m_Members[What.m_From].m_Address;
    bool IsWaitedFor = Open != m_Open.end() &&
                       Open->second.m_Draw.m_RemainingOwners.back() == Owner;
    if (IsWaitedFor)
      return settle(What.m_Draw, Book.handleResponse(Open->second.m_Draw,
                                                     What.m_Response, m_Now));
    Book.cacheGrant(Owner, What.m_Ask.m_Account, What.m_Response.m_Tokens,
                    m_Now);
  }

  void giveUpWaiting() {
    std::vector<std::uint64_t> Late;
    for (const auto &[Id, Open] : m_Open)
      if (m_Now - Open.m_AskedAt > DistributedQuota::ResponseTimeout &&
          m_Members[Open.m_Instance].m_FrozenUntil <= m_Now)
        Late.push_back(Id);
    for (std::uint64_t Id : Late) {
      OpenDraw &Open = m_Open.at(Id);
      DistributedQuota &Book = *m_Members[Open.m_Instance].m_Book;
      settle(Id, Book.handleTimeout(Open.m_Draw, m_Now));
    }
  }

  void returnUnused(std::size_t Instance) {
    for (const routing::QuotaReturn &Each :
         m_Members[Instance].m_Book->takeUnusedGrants(m_Now)) {
      Datagram Return;
      Return.m_From = Instance;
      Return.m_Ask = {Each.m_Account, 0, Each.m_Tokens};
      send(m_Indexes.at(Each.m_Owner), Return);
    }
  }

  void step() {
    m_Now += StepTime;
    std::vector<std::deque<Datagram>> Inboxes(m_Members.size());
    for (std::size_t I = 0; I < m_Members.size(); ++I)
      if (m_Members[I].m_FrozenUntil <= m_Now)
        Inboxes[I].swap(m_Members[I].m_Inbox);
    for (std::size_t I = 0; I < m_Members.size(); ++I) {
      Member &Each = m_Members[I];
      if (Each.m_FrozenUntil > m_Now)
        continue;
      if (!Each.m_Book && Each.m_DownUntil <= m_Now)
        start(Each, false);
      if (!Each.m_Book)
        continue;
      Each.m_Book->setListConfirmed(!hasNoticedCut(Each));
      // It hears of added ones from the others, and reads the store at a start.
      bool IsTold = !Each.m_HasRead ||
                    std::max(Each.m_CutUntil, Each.m_SplitUntil) <= m_Now;
      if (Each.m_ReadsAt <= m_Now && IsTold)
        read(Each);
      for (const CallerRequest &Late : std::exchange(Each.m_Held, {}))
        begin(I, Late);
      for (const Datagram &What : Inboxes[I])
        take(I, What);
      returnUnused(I);
      sendCharges(I);
    }
    giveUpWaiting();
  }
};

QuotaFleet::QuotaFleet(const QuotaFleetSettings &Settings)
    : m_Model(std::make_unique<Model>()) {
  Model &M = *m_Model;
  M.m_Settings = Settings;
  M.m_Random.seed(Settings.m_Seed);
  M.m_Allowed.resize(Settings.m_Accounts.size());
  M.m_Refused.resize(Settings.m_Accounts.size());
  for (std::size_t I = 0; I < Settings.m_Size; ++I)
    M.add(true);
  for (Model::Member &Each : M.m_Members)
    M.read(Each);
}

QuotaFleet::~QuotaFleet() = default;

core::TimePoint QuotaFleet::now() const { return m_Model->m_Now; }

std::size_t QuotaFleet::size() const { return m_Model->m_Members.size(); }

void QuotaFleet::advance(core::Duration Time) {
  core::TimePoint Until = m_Model->m_Now + Time;
  while (m_Model->m_Now < Until)
    m_Model->step();
}

void QuotaFleet::request(std::size_t Instance, std::size_t Account,
                         std::uint32_t Tokens) {
  Model &M = *m_Model;
  Model::Member &At = M.m_Members[Instance];
  if (At.m_FrozenUntil > now())
    return At.m_Held.push_back({Account, Tokens});
  M.begin(Instance, {Account, Tokens});
}

void QuotaFleet::kill(std::size_t Instance, core::Duration Down) {
  Model::Member &Killed = m_Model->m_Members[Instance];
  Killed.m_Book.reset();
  Killed.m_Inbox.clear();
  Killed.m_Held.clear();
  Killed.m_FrozenUntil = core::TimePoint();
  Killed.m_DownUntil = now() + Down;
  auto &Open = m_Model->m_Open;
  for (auto Each = Open.begin(); Each != Open.end();)
    Each = Each->second.m_Instance == Instance ? Open.erase(Each)
                                               : std::next(Each);
}

void QuotaFleet::cut(std::size_t Instance, core::Duration Time) {
  Model::Member &Which = m_Model->m_Members[Instance];
  m_Model->noteCut(Which);
  Which.m_CutUntil = now() + Time;
}

void QuotaFleet::split(const std::vector<std::size_t> &Instances,
                       core::Duration Time) {
  bool IsMinority = Instances.size() * 2 < size();
  for (std::size_t Index : Instances) {
    Model::Member &Each = m_Model->m_Members[Index];
    if (IsMinority)
      m_Model->noteCut(Each);
    Each.m_SplitUntil = now() + Time;
  }
}

void QuotaFleet::freeze(std::size_t Instance, core::Duration Time) {
  m_Model->m_Members[Instance].m_FrozenUntil = now() + Time;
}

void QuotaFleet::add() {
  Model &M = *m_Model;
  M.add(false);
  for (Model::Member &Each : M.m_Members)
    Each.m_ReadsAt = std::min(
        Each.m_ReadsAt, now() + M.between(core::Duration(0), LongestSpread));
}

const std::vector<AllowedDraw> &QuotaFleet::allowed(std::size_t Account) const {
  return m_Model->m_Allowed[Account];
}

std::size_t QuotaFleet::refused(std::size_t Account, bool IsCutOff) const {
  return m_Model->m_Refused[Account][IsCutOff ? 1 : 0];
}

} // namespace yardrill::tests
