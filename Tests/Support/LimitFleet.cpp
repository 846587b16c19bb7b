#include "LimitFleet.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace yardrill::tests {

using core::TimePoint;
using routing::FleetSubset;
using routing::TargetThrottleTable;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr milliseconds Step{10};
static constexpr milliseconds AnswerTime{40};
static constexpr seconds DayTime{40};
static constexpr seconds NamedFrom{5};
static constexpr seconds NamedUntil{30};
static constexpr seconds ContactTime{3};
static constexpr milliseconds ToldTime{500};
static constexpr seconds Window{4};
static constexpr seconds TellPeriod{1};
static constexpr double LostShare = 0.03;
static constexpr milliseconds LongestDelay{300};
static constexpr double LateShare = 0.02;
/// Until all instances know of one more or less.
static constexpr milliseconds LongestNewsTime{2000};
static constexpr double FaultsPerSecond = 0.7;

const char *toString(LimitWay Way) {
  switch (Way) {
  case LimitWay::Senders:
    return "senders";
  case LimitWay::OneSender:
    return "one-sender";
  case LimitWay::EqualParts:
    return "equal-parts";
  case LimitWay::Alone:
    return "alone";
  }
  return "unknown";
}

namespace {

struct Arrival {
  TimePoint m_At;
  std::size_t m_Instance = 0;
};

struct Datagram {
  TimePoint m_At;
  std::size_t m_To = 0;
  routing::BackpressureReport m_Backpressure;
  TimePoint m_SentAt;
};

struct Answer {
  TimePoint m_At;
  std::size_t m_Instance = 0;
  std::size_t m_Target = 0;
  std::uint64_t m_Life = 0;
};

struct ModelInstance {
  std::unique_ptr<TargetThrottleTable> m_Book;
  FleetSubset::Fleet m_List; ///< As it knows the fleet.
  FleetSubset m_Share;
  std::uint64_t m_Life = 1;
  bool m_IsThere = true;
  TimePoint m_DownUntil{};
  TimePoint m_FrozenUntil{};
  TimePoint m_CutUntil{};
  TimePoint m_ExcusedUntil{};
  TimePoint m_ToldOthersAt{};
  std::vector<TimePoint> m_ToldAt; ///< By target: passed such an answer on.
  std::size_t m_Heard = 0;
};

class LimitModel {
public:
  LimitModel(const LimitDay &Day, LimitWay Way)
      : m_Day(Day), m_Way(Way), m_Random(Day.m_Seed) {}

  LimitResult play();

private:
  static config::Endpoint addressOf(std::size_t Instance) {
    return {"10.1." + std::to_string(Instance / 250) + "." +
                std::to_string(Instance % 250 + 1),
            7600};
  }
  static core::DataHallName hallOf(std::size_t Instance) {
    return core::DataHallName("hall-" + std::to_string(Instance % 3));
  }
  static routing::TargetIncarnation runOf(std::size_t Target) {
    return {core::TargetName("t-" + std::to_string(Target))};
  }
  bool chance(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(m_Random) < Share;
  }
  core::Duration upTo(core::Duration Longest) {
    return core::Duration(std::uniform_int_distribution<std::int64_t>(
        0, core::Duration(Longest).count())(m_Random));
  }
  std::size_t drawn(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(m_Random);
  }
  bool isUp(const ModelInstance &Which) const {
    return Which.m_IsThere && Which.m_DownUntil <= m_Now &&
           Which.m_FrozenUntil <= m_Now;
  }
  bool isCut(const ModelInstance &Which) const {
    return m_Now < Which.m_CutUntil;
  }
  bool isLimited() const {
    return m_Now >= m_Start + NamedFrom && m_Now < m_Start + NamedUntil;
  }

  void start(std::size_t Index, const FleetSubset::Fleet &List);
  void setList(std::size_t Index, FleetSubset::Fleet List);
  std::size_t sendersOf(std::size_t Index,
                        const routing::TargetIncarnation &Run);
  void request();
  void answer(const Answer &What);
  void tell(std::size_t From,
            const std::vector<routing::BackpressureReport> &Terms);
  void deliver();
  void fault();
  void learn();
  void judge(LimitResult &Out) const;

  LimitDay m_Day;
  LimitWay m_Way;
  std::mt19937_64 m_Random;
  TimePoint m_Start{std::chrono::hours(1)};
  TimePoint m_Now = m_Start;
  std::size_t m_Members = 0;
  std::size_t m_Limited = 0; ///< The first targets.
  std::vector<ModelInstance> m_Instances;
  std::map<config::Endpoint, std::size_t> m_Indexes;
  FleetSubset::Fleet m_Fleet; ///< As it is.
  /// Changes of the fleet on their way to one instance.
  std::vector<std::pair<TimePoint, std::size_t>> m_News;
  std::vector<Datagram> m_Datagrams;
  std::deque<Answer> m_Answers;
  std::vector<std::vector<Arrival>> m_Arrivals; ///< By target; told, in touch.
  std::vector<std::size_t> m_All;               ///< By target, while named.
};

} // namespace

std::size_t LimitModel::sendersOf(std::size_t Index,
                                  const routing::TargetIncarnation &Run) {
  const ModelInstance &Own = m_Instances[Index];
  std::size_t Sharers = Own.m_Share.subsetInstances(m_Day.m_Targets).size();
  std::size_t Order = Own.m_Share.rendezvousRank(Run.hash(), m_Day.m_Targets);
  switch (m_Way) {
  case LimitWay::Senders: {
    std::size_t Senders =
        std::min(routing::SharedRateLimit::MaxSenders, Sharers);
    return Order < Senders ? Senders : 0;
  }
  case LimitWay::OneSender:
    return Order == 0 ? 1 : 0;
  case LimitWay::EqualParts:
    return Sharers;
  case LimitWay::Alone:
    return 1;
  }
  return 0;
}

void LimitModel::setList(std::size_t Index, FleetSubset::Fleet List) {
  ModelInstance &Own = m_Instances[Index];
  Own.m_List = std::move(List);
  Own.m_Share = FleetSubset(addressOf(Index), Own.m_List, m_Members);
  Own.m_Book->invalidateSenders();
}

void LimitModel::start(std::size_t Index, const FleetSubset::Fleet &List) {
  ModelInstance &Own = m_Instances[Index];
  Own.m_Book = std::make_unique<TargetThrottleTable>(
      [this, Index](const routing::TargetIncarnation &Run) {
        return sendersOf(Index, Run);
      });
  Own.m_ToldAt.assign(m_Limited, TimePoint::max());
  ++Own.m_Life;
  setList(Index, List);
}

void LimitModel::request() {
  std::size_t Index = drawn(m_Instances.size());
  ModelInstance &Own = m_Instances[Index];
  if (!isUp(Own))
    return;
  // As a dispatcher that finds the limited ones the least busy.
  std::vector<std::size_t> Open;
  for (std::size_t Target = 0; Target < m_Limited; ++Target)
    if (Own.m_Share.isInSubset(Target * m_Day.m_Targets / m_Limited,
                               m_Day.m_Targets) &&
        Own.m_Book->acceptsRequests(runOf(Target), m_Now))
      Open.push_back(Target);
  if (Open.empty())
    return;
  std::size_t Target = Open[drawn(Open.size())];
  Own.m_Book->recordSent(runOf(Target), m_Now);
  bool IsTold = Own.m_ToldAt[Target] < m_Now - ToldTime;
  if (IsTold && Own.m_ExcusedUntil < m_Now)
    m_Arrivals[Target].push_back({m_Now, Index});
  m_All[Target] += isLimited() ? 1 : 0;
  m_Answers.push_back({m_Now + AnswerTime, Index, Target, Own.m_Life});
}

void LimitModel::answer(const Answer &What) {
  ModelInstance &Own = m_Instances[What.m_Instance];
  if (!Own.m_IsThere || Own.m_Life != What.m_Life)
    return;
  routing::TargetBackpressure Terms;
  if (isLimited()) {
    Terms.m_RequestsPerSecond = m_Day.m_Limit;
    Own.m_ToldAt[What.m_Target] = std::min(Own.m_ToldAt[What.m_Target], m_Now);
  }
  routing::TargetIncarnation Run = runOf(What.m_Target);
  if (Own.m_Book->update(Run, Terms, m_Now))
    tell(What.m_Instance, {Own.m_Book->reportOf(Run)});
}

void LimitModel::tell(std::size_t From,
                      const std::vector<routing::BackpressureReport> &Terms) {
  ModelInstance &Own = m_Instances[From];
  if (Terms.empty() || isCut(Own))
    return;
  for (const config::Endpoint &To :
       Own.m_Share.subsetInstances(m_Day.m_Targets)) {
    std::size_t Index = m_Indexes.at(To);
    if (Index == From || chance(LostShare))
      continue;
    for (const routing::BackpressureReport &Each : Terms)
      m_Datagrams.push_back({m_Now + Step + upTo(LongestDelay) / 10 +
                                 (chance(LateShare) ? upTo(LongestDelay)
                                                    : core::Duration::zero()),
                             Index, Each, m_Now});
  }
}

void LimitModel::deliver() {
  std::vector<Datagram> Left;
  for (Datagram &Each : m_Datagrams) {
    ModelInstance &To = m_Instances[Each.m_To];
    bool IsWaiting = Each.m_At > m_Now || m_Now < To.m_FrozenUntil;
    if (IsWaiting) {
      Left.push_back(std::move(Each));
      continue;
    }
    if (!isUp(To) || isCut(To))
      continue;
    ++To.m_Heard;
    // Told as an age.
    Each.m_Backpressure.m_Limit.m_At += m_Now - Each.m_SentAt;
    To.m_Book->update(Each.m_Backpressure, m_Now);
  }
  m_Datagrams = std::move(Left);
}

void LimitModel::fault() {
  std::size_t Index = drawn(m_Instances.size());
  ModelInstance &Own = m_Instances[Index];
  core::Duration Long = milliseconds(500) + upTo(seconds(5));
  enum Kind { Kill, Freeze, Cut, Leave, Kinds };
  switch (static_cast<Kind>(drawn(Kinds))) {
  case Kill:
    Own.m_DownUntil = m_Now + milliseconds(500);
    Own.m_ExcusedUntil = Own.m_DownUntil + ContactTime;
    // It knows itself alone at first.
    start(Index, {{addressOf(Index), hallOf(Index)}});
    m_News.emplace_back(Own.m_DownUntil + upTo(LongestNewsTime), Index);
    return;
  case Freeze:
    Own.m_FrozenUntil = m_Now + Long;
    Own.m_ExcusedUntil = Own.m_FrozenUntil + ContactTime;
    return;
  case Cut:
    Own.m_CutUntil = m_Now + Long;
    Own.m_ExcusedUntil = Own.m_CutUntil + ContactTime;
    return;
  case Leave:
  case Kinds:
    break;
  }
  // It is removed for good, or one that was is there again.
  Own.m_IsThere = !Own.m_IsThere;
  if (Own.m_IsThere) {
    m_Fleet[addressOf(Index)] = hallOf(Index);
    Own.m_ExcusedUntil = m_Now + ContactTime;
    start(Index, {{addressOf(Index), hallOf(Index)}});
  } else {
    m_Fleet.erase(addressOf(Index));
  }
  for (std::size_t Other = 0; Other < m_Instances.size(); ++Other)
    m_News.emplace_back(m_Now + upTo(LongestNewsTime), Other);
}

void LimitModel::learn() {
  std::vector<std::pair<TimePoint, std::size_t>> Left;
  for (const auto &Each : m_News) {
    ModelInstance &Own = m_Instances[Each.second];
    if (Each.first > m_Now || m_Now < Own.m_FrozenUntil || isCut(Own))
      Left.push_back(Each);
    else if (Own.m_IsThere && Own.m_List != m_Fleet)
      setList(Each.second, m_Fleet);
  }
  m_News = std::move(Left);
}

void LimitModel::judge(LimitResult &Out) const {
  double Allowed =
      1.5 * m_Day.m_Limit * core::toSeconds(core::Duration(Window)) + 5;
  TimePoint From = m_Start + NamedFrom + ContactTime;
  for (const std::vector<Arrival> &Each : m_Arrivals) {
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Each.size(); ++Last) {
      while (Each[Last].m_At - Each[First].m_At > Window ||
             Each[First].m_At < From) {
        if (First == Last)
          break;
        ++First;
      }
      if (Each[First].m_At < From || Each[Last].m_At > m_Start + NamedUntil)
        continue;
      Out.m_WorstShare = std::max(
          Out.m_WorstShare, static_cast<double>(Last - First + 1) / Allowed);
    }
  }
  double Takes = m_Day.m_Limit * core::toSeconds(NamedUntil - NamedFrom);
  for (std::size_t Each : m_All)
    Out.m_ServedShare +=
        static_cast<double>(Each) / Takes / static_cast<double>(m_All.size());
}

LimitResult LimitModel::play() {
  m_Members = FleetSubset::groupSizeFor(m_Day.m_Instances, m_Day.m_Targets);
  m_Limited = std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(m_Day.m_Targets) *
                                  m_Day.m_LimitedShare));
  m_Instances.resize(m_Day.m_Instances);
  m_Arrivals.resize(m_Limited);
  m_All.resize(m_Limited);
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    m_Fleet[addressOf(I)] = hallOf(I);
    m_Indexes[addressOf(I)] = I;
  }
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    start(I, m_Fleet);
    m_Instances[I].m_ToldOthersAt = m_Now + upTo(TellPeriod);
  }
  LimitResult Out;
  std::poisson_distribution<int> Requests(m_Day.m_RequestsPerSecond *
                                          core::toSeconds(Step));
  std::size_t Seconds = 0;
  for (; m_Now < m_Start + DayTime; m_Now += Step, ++Seconds) {
    if (m_Day.m_HasFaults &&
        chance(FaultsPerSecond * core::toSeconds(core::Duration(Step))))
      fault();
    learn();
    deliver();
    while (!m_Answers.empty() && m_Answers.front().m_At <= m_Now) {
      answer(m_Answers.front());
      m_Answers.pop_front();
    }
    for (int I = Requests(m_Random); I > 0; --I)
      request();
    bool IsAnyLimited = false;
    for (std::size_t I = 0; I < m_Instances.size(); ++I) {
      ModelInstance &Own = m_Instances[I];
      if (!isUp(Own))
        continue;
      IsAnyLimited = IsAnyLimited || Own.m_Book->limited() > 0;
      if (m_Now - Own.m_ToldOthersAt < TellPeriod)
        continue;
      Own.m_ToldOthersAt = m_Now;
      Own.m_Book->removeStale(m_Now);
      tell(I, Own.m_Book->dueReports(m_Now));
    }
    if (m_Now >= m_Start + NamedUntil && IsAnyLimited)
      Out.m_EndKnownSeconds = core::toSeconds(m_Now - (m_Start + NamedUntil));
  }
  judge(Out);
  double Time = core::toSeconds(DayTime - NamedFrom);
  for (const ModelInstance &Each : m_Instances)
    Out.m_DatagramsPerSecond = std::max(
        Out.m_DatagramsPerSecond, static_cast<double>(Each.m_Heard) / Time);
  return Out;
}

LimitResult playLimitDay(const LimitDay &Day, LimitWay Way) {
  return LimitModel(Day, Way).play();
}

} // namespace yardrill::tests
