#include "QuotaFleet.h"

#include "LibRouting/QuotaBook.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

namespace yardrill::tests {

using routing::QuotaBook;
using routing::QuotaStep;

/// Of datagrams, each on its way for one step.
static constexpr double LossShare = 0.01;
/// As the users' platform allows.
static constexpr double ToleratedShare = 0.1;
static constexpr double ToleratedTokens = 190000;

namespace {

/// One way between an instance and an owner.
struct Datagram {
  std::size_t m_From = 0;
  std::uint64_t m_Draw = 0;
  bool m_IsAnswer = false;
  routing::QuotaAsk m_Ask;
  routing::QuotaAnswer m_Answer;
};

struct OpenDraw {
  std::size_t m_Instance = 0;
  std::size_t m_Account = 0;
  routing::QuotaDraw m_Draw;
  core::TimePoint m_AskedAt{};
};

} // namespace

struct QuotaFleet::Model {
  core::TimePoint m_Now{std::chrono::hours(1)};
  std::mt19937_64 m_Random;
  std::vector<routing::Account> m_Accounts;
  std::vector<config::Endpoint> m_Addresses;
  std::map<config::Endpoint, std::size_t> m_Indexes; ///< By address.
  std::vector<std::unique_ptr<QuotaBook>> m_Books;   ///< Null: down.
  std::vector<core::TimePoint> m_DownUntil;
  std::vector<core::TimePoint> m_CutUntil;
  std::vector<std::deque<Datagram>> m_Inboxes;
  std::map<std::uint64_t, OpenDraw> m_Open;
  std::uint64_t m_NextDraw = 1;
  std::vector<std::vector<AllowedDraw>> m_Allowed;
  std::vector<std::size_t> m_Refused;

  std::size_t size() const { return m_Books.size(); }
  bool isCut(std::size_t Instance) const {
    return m_CutUntil[Instance] > m_Now;
  }

  void start(std::size_t Instance, bool IsFirst) {
    routing::QuotaTolerance Tolerance{ToleratedShare, ToleratedTokens,
                                      std::chrono::seconds(8)};
    m_Books[Instance] = std::make_unique<QuotaBook>(
        m_Addresses[Instance], Tolerance, IsFirst, m_Random());
    // The list of instances and the accounts come from the store.
    m_Books[Instance]->setRing(routing::OwnerRing(m_Addresses), m_Now);
    m_Books[Instance]->setAccounts(m_Accounts, m_Now);
  }

  void send(std::size_t To, const Datagram &What) {
    std::uniform_real_distribution<double> Chance(0, 1);
    if (m_Books[To] && !isCut(What.m_From) && !isCut(To) &&
        Chance(m_Random) >= LossShare)
      m_Inboxes[To].push_back(What);
  }

  void settle(std::uint64_t Id, QuotaStep Step) {
    OpenDraw &Open = m_Open.at(Id);
    if (Step == QuotaStep::Ask) {
      Open.m_AskedAt = m_Now;
      Datagram Ask;
      Ask.m_From = Open.m_Instance;
      Ask.m_Draw = Id;
      Ask.m_Ask = {Open.m_Draw.m_Account, Open.m_Draw.m_Tokens, 0};
      return send(m_Indexes.at(Open.m_Draw.m_Left.back()), Ask);
    }
    if (Step == QuotaStep::Granted)
      m_Allowed[Open.m_Account].push_back({m_Now, Open.m_Draw.m_Tokens});
    else
      ++m_Refused[Open.m_Account];
    m_Open.erase(Id);
  }

  void take(std::size_t Instance, const Datagram &What) {
    QuotaBook &Book = *m_Books[Instance];
    if (!What.m_IsAnswer) {
      Datagram Answer;
      Answer.m_From = Instance;
      Answer.m_Draw = What.m_Draw;
      Answer.m_IsAnswer = true;
      Answer.m_Ask = What.m_Ask;
      Answer.m_Answer = Book.answer(What.m_Ask, m_Now);
      return send(What.m_From, Answer);
    }
    auto Open = m_Open.find(What.m_Draw);
    bool IsWaitedFor =
        Open != m_Open.end() &&
        Open->second.m_Draw.m_Left.back() == m_Addresses[What.m_From];
    if (IsWaitedFor)
      return settle(What.m_Draw,
                    Book.answered(Open->second.m_Draw, What.m_Answer, m_Now));
    Book.keep(m_Addresses[What.m_From], What.m_Ask.m_Account,
              What.m_Answer.m_Tokens, m_Now);
  }

  void giveUpWaiting() {
    std::vector<std::uint64_t> Late;
    for (const auto &[Id, Open] : m_Open)
      if (m_Now - Open.m_AskedAt > QuotaBook::Patience)
        Late.push_back(Id);
    for (std::uint64_t Id : Late) {
      OpenDraw &Open = m_Open.at(Id);
      settle(Id, m_Books[Open.m_Instance]->unanswered(Open.m_Draw, m_Now));
    }
  }

  void returnUnused(std::size_t Instance) {
    for (const routing::QuotaReturn &Each :
         m_Books[Instance]->takeUnused(m_Now)) {
      Datagram Return;
      Return.m_From = Instance;
      Return.m_Ask = {Each.m_Account, 0, Each.m_Tokens};
      send(m_Indexes.at(Each.m_Owner), Return);
    }
  }

  void step() {
    m_Now += StepTime;
    std::vector<std::deque<Datagram>> Inboxes(size());
    Inboxes.swap(m_Inboxes);
    for (std::size_t I = 0; I < size(); ++I) {
      if (!m_Books[I] && m_DownUntil[I] <= m_Now)
        start(I, false);
      for (const Datagram &Each : Inboxes[I])
        if (m_Books[I])
          take(I, Each);
      if (m_Books[I])
        returnUnused(I);
    }
    giveUpWaiting();
  }
};

QuotaFleet::QuotaFleet(std::size_t Size, std::vector<routing::Account> Accounts,
                       std::uint64_t Seed)
    : m_Model(std::make_unique<Model>()) {
  Model &M = *m_Model;
  M.m_Random.seed(Seed);
  M.m_Allowed.resize(Accounts.size());
  M.m_Refused.resize(Accounts.size());
  M.m_Accounts = std::move(Accounts);
  M.m_Books.resize(Size);
  M.m_DownUntil.resize(Size);
  M.m_CutUntil.resize(Size);
  M.m_Inboxes.resize(Size);
  for (std::size_t I = 0; I < Size; ++I) {
    M.m_Addresses.push_back(
        {"10.1." + std::to_string(I / 200) + "." + std::to_string(I % 200 + 10),
         7600});
    M.m_Indexes.emplace(M.m_Addresses.back(), I);
  }
  for (std::size_t I = 0; I < Size; ++I)
    M.start(I, true);
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
  Model &M = *m_Model;
  if (!M.m_Books[Instance])
    return;
  OpenDraw Open;
  Open.m_Instance = Instance;
  Open.m_Account = Account;
  Open.m_Draw.m_Account = routing::hashOf(M.m_Accounts[Account].m_Name);
  Open.m_Draw.m_Tokens = Tokens;
  std::uint64_t Id = M.m_NextDraw++;
  OpenDraw &Placed = M.m_Open.emplace(Id, std::move(Open)).first->second;
  M.settle(Id, M.m_Books[Instance]->begin(Placed.m_Draw, now()));
}

void QuotaFleet::kill(std::size_t Instance, core::Duration Down) {
  m_Model->m_Books[Instance].reset();
  m_Model->m_DownUntil[Instance] = now() + Down;
  auto &Open = m_Model->m_Open;
  for (auto Each = Open.begin(); Each != Open.end();)
    Each = Each->second.m_Instance == Instance ? Open.erase(Each)
                                               : std::next(Each);
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
