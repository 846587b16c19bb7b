#include "QuotaFleet.h"

#include "LibGateway/MissingPeers.h"
#include "LibRouting/FleetShare.h"
#include "LibRouting/QuotaBook.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

namespace yardrill::tests {

using routing::FleetShare;
using std::chrono::milliseconds;
using std::chrono::seconds;

// As in the product: how often instances report, and when one counts as gone.
static constexpr milliseconds ReportPeriod{100};
static constexpr milliseconds SeekPeriod{250};
static constexpr std::size_t FarTurns = 10;
static constexpr milliseconds NearSilence{700};
static constexpr seconds FarSilence{10};
static constexpr seconds FindTime{3};
static constexpr std::size_t MostAccountsInReport = 24;
/// Of datagrams, on their way for one step.
static constexpr double LossShare = 0.01;

namespace {

struct Report {
  std::size_t m_From = 0;
  core::IncarnationId m_Incarnation;
  routing::DrawnTokens m_Drawn;
};

struct Process {
  core::IncarnationId m_Incarnation;
  core::TimePoint m_StartedAt{};
  std::unique_ptr<routing::QuotaBook> m_Book;
  std::vector<core::TimePoint> m_HeardAt; ///< Of each other; 0: not known.
  std::vector<core::IncarnationId> m_Known;
  FleetShare::Fleet m_Fleet;
  FleetShare m_Share;
  gateway::MissingPeers m_Missing;
  std::size_t m_NextFar = 0;
};

} // namespace

struct QuotaFleet::Model {
  core::TimePoint m_Now{std::chrono::hours(1)};
  std::mt19937_64 m_Random;
  routing::RoutingTableHandle m_Table;
  std::vector<routing::Account> m_Accounts;
  std::vector<Process> m_Processes;
  std::vector<core::TimePoint> m_DownUntil;
  std::vector<core::TimePoint> m_CutUntil;
  std::vector<std::deque<Report>> m_Inboxes;
  std::vector<std::vector<AllowedDraw>> m_Allowed;
  std::vector<std::size_t> m_Refused;

  std::vector<config::Endpoint> m_Addresses;
  std::map<config::Endpoint, std::size_t> m_Indexes; ///< By address.

  const config::Endpoint &address(std::size_t Instance) const {
    return m_Addresses[Instance];
  }
  static core::DataHallName hall(std::size_t Instance) {
    return core::DataHallName(
        std::string(1, static_cast<char>('a' + Instance % 5)));
  }
  std::size_t size() const { return m_Processes.size(); }
  bool isUp(std::size_t Instance) const {
    return m_DownUntil[Instance] <= m_Now && m_Processes[Instance].m_Book;
  }
  bool isCut(std::size_t Instance) const {
    return m_CutUntil[Instance] > m_Now;
  }
  std::size_t indexOf(const config::Endpoint &Where) const {
    return m_Indexes.at(Where);
  }

  void start(std::size_t Instance, bool IsFirst) {
    Process &What = m_Processes[Instance];
    What = Process();
    What.m_Incarnation = core::IncarnationId(m_Random());
    What.m_StartedAt = IsFirst ? m_Now - FindTime : m_Now;
    What.m_Book = std::make_unique<routing::QuotaBook>(IsFirst);
    What.m_Book->configure(*m_Table, m_Now);
    What.m_HeardAt.assign(size(), core::TimePoint());
    What.m_Known.assign(size(), core::IncarnationId());
  }

  /// The next far peers in turn.
  std::vector<std::size_t> farPeers(std::size_t From) {
    std::vector<std::size_t> Out;
    for (std::size_t I = 0; I < (size() + FarTurns - 1) / FarTurns; ++I) {
      std::size_t &Next = m_Processes[From].m_NextFar;
      Next = (Next + 11) % size();
      Out.push_back(Next);
    }
    return Out;
  }

  void send(std::size_t From, bool IsFull) {
    Process &What = m_Processes[From];
    Report Says{From, What.m_Incarnation, {}};
    for (const auto &[Hash, Tokens] : What.m_Book->drawn())
      if (Says.m_Drawn.size() < MostAccountsInReport)
        Says.m_Drawn.emplace(Hash, Tokens);
    std::vector<std::size_t> To;
    for (const config::Endpoint &Near : What.m_Share.near())
      To.push_back(indexOf(Near));
    if (IsFull)
      for (std::size_t Far : farPeers(From))
        To.push_back(Far);
    std::uniform_real_distribution<double> Chance(0, 1);
    for (std::size_t Each : To)
      if (Each != From && isUp(Each) && !isCut(From) && !isCut(Each) &&
          Chance(m_Random) >= LossShare)
        m_Inboxes[Each].push_back(Says);
  }

  void take(std::size_t Instance, const Report &Says) {
    Process &What = m_Processes[Instance];
    What.m_HeardAt[Says.m_From] = m_Now;
    What.m_Known[Says.m_From] = Says.m_Incarnation;
    What.m_Missing.heard(address(Says.m_From));
    if (What.m_Share.isNear(address(Says.m_From)))
      What.m_Book->noteOther(Says.m_Incarnation, Says.m_Drawn);
  }

  void look(std::size_t Instance) {
    Process &What = m_Processes[Instance];
    for (std::size_t I = 0; I < size(); ++I) {
      core::TimePoint &HeardAt = What.m_HeardAt[I];
      bool IsNear = What.m_Share.isNear(address(I));
      if (HeardAt == core::TimePoint() ||
          m_Now - HeardAt <= (IsNear ? core::Duration(NearSilence)
                                     : core::Duration(FarSilence)))
        continue;
      HeardAt = core::TimePoint();
      What.m_Missing.lost(address(I), m_Now);
    }
    if (!isCut(Instance))
      What.m_Missing.forgetOld(m_Now);
    routing::QuotaView View;
    for (std::size_t I = 0; I < size(); ++I)
      if (What.m_HeardAt[I] != core::TimePoint() &&
          What.m_Share.isNear(address(I)))
        ++View.m_Heard;
    for (const auto &[Where, Since] : What.m_Missing.all())
      if (What.m_Share.groups() == 1 || What.m_Share.isNear(Where))
        ++View.m_Missing;
    View.m_PartOfFleet = What.m_Share.partOfFleet();
    View.m_IsSettled = m_Now - What.m_StartedAt >= FindTime;
    View.m_Recorded = size();
    What.m_Book->setShare(routing::quotaShare(View));
  }

  void recut(std::size_t Instance) {
    Process &What = m_Processes[Instance];
    FleetShare::Fleet Fleet{{address(Instance), hall(Instance)}};
    for (std::size_t I = 0; I < size(); ++I)
      if (What.m_HeardAt[I] != core::TimePoint())
        Fleet[address(I)] = hall(I);
    if (Fleet == What.m_Fleet)
      return;
    What.m_Fleet = Fleet;
    What.m_Share = FleetShare(address(Instance), Fleet);
  }

  void step() {
    m_Now += StepTime;
    for (std::size_t I = 0; I < size(); ++I) {
      if (!m_Processes[I].m_Book && m_DownUntil[I] <= m_Now)
        start(I, false);
      std::deque<Report> Inbox;
      Inbox.swap(m_Inboxes[I]);
      if (!isUp(I))
        continue;
      for (const Report &Each : Inbox)
        take(I, Each);
      auto Since = m_Now.time_since_epoch() + StepTime * static_cast<long>(I);
      if (Since % SeekPeriod == core::Duration::zero()) {
        recut(I);
        send(I, true);
      } else if (Since % ReportPeriod == core::Duration::zero()) {
        send(I, false);
      }
      if (Since % (2 * StepTime) == core::Duration::zero())
        look(I);
    }
  }
};

QuotaFleet::QuotaFleet(std::size_t Size, std::vector<routing::Account> Accounts,
                       std::uint64_t Seed)
    : m_Model(std::make_unique<Model>()) {
  Model &M = *m_Model;
  M.m_Random.seed(Seed);
  routing::RoutingTable::Builder Table;
  for (const routing::Account &Each : Accounts)
    Table.account(Each);
  M.m_Table = Table.build();
  M.m_Allowed.resize(Accounts.size());
  M.m_Refused.resize(Accounts.size());
  M.m_Accounts = std::move(Accounts);
  M.m_Processes.resize(Size);
  for (std::size_t I = 0; I < Size; ++I) {
    M.m_Addresses.push_back(
        {"10.1." + std::to_string(I / 200) + "." + std::to_string(I % 200 + 10),
         7600});
    M.m_Indexes.emplace(M.m_Addresses.back(), I);
  }
  M.m_DownUntil.resize(Size);
  M.m_CutUntil.resize(Size);
  M.m_Inboxes.resize(Size);
  for (std::size_t I = 0; I < Size; ++I)
    M.start(I, true);
  for (std::size_t I = 0; I < Size; ++I) {
    M.m_Processes[I].m_HeardAt.assign(Size, M.m_Now);
    M.recut(I);
  }
}

QuotaFleet::~QuotaFleet() = default;

core::TimePoint QuotaFleet::now() const { return m_Model->m_Now; }

void QuotaFleet::advance(core::Duration Time) {
  core::TimePoint Until = m_Model->m_Now + Time;
  while (m_Model->m_Now < Until)
    m_Model->step();
}

void QuotaFleet::request(std::size_t Instance, std::size_t Account,
                         std::uint32_t Tokens) {
  if (!m_Model->isUp(Instance))
    return;
  if (m_Model->m_Processes[Instance].m_Book->tryTake(
          m_Model->m_Accounts[Account].m_Name, Tokens, now()))
    m_Model->m_Allowed[Account].push_back({now(), Tokens});
  else
    ++m_Model->m_Refused[Account];
}

void QuotaFleet::kill(std::size_t Instance, core::Duration Down) {
  m_Model->m_Processes[Instance].m_Book.reset();
  m_Model->m_DownUntil[Instance] = now() + Down;
}

void QuotaFleet::cut(std::size_t Instance, core::Duration Time) {
  m_Model->m_CutUntil[Instance] = now() + Time;
}

const std::vector<AllowedDraw> &QuotaFleet::allowed(std::size_t Account) const {
  return m_Model->m_Allowed[Account];
}

std::size_t QuotaFleet::refused(std::size_t Account) const {
  return m_Model->m_Refused[Account];
}

} // namespace yardrill::tests
