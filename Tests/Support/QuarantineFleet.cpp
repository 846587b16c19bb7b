#include "QuarantineFleet.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace yardrill::tests {

using namespace std::chrono_literals;
using core::Duration;
using core::TimePoint;
using quarantine::ContentDigest;
using quarantine::Gossip;
using quarantine::Observation;

static constexpr Duration UpkeepPeriod = 250ms;
static constexpr Duration WritePeriod = 500ms;
/// As a process that has started knows that it has found the others.
static constexpr Duration SettleTime = 3s;
static constexpr Duration RestartTime = 500ms;
/// Until an instance knows that its target refuses connections.
static constexpr Duration ProbeTime = 3ms;
static constexpr Duration ReturnTime = 300ms;
static constexpr unsigned MaxIncarnations = 2; ///< Targets of one attempt.
static constexpr std::size_t PopularContents = 5;
static constexpr std::size_t Third = 3;

namespace {

enum class Kind { Bad, Popular, Unique };

struct Request {
  Kind m_Kind = Kind::Unique;
  ContentDigest m_Content;
  std::size_t m_Instance = 0;
  std::size_t m_Life = 0; ///< Of the instance.
  unsigned m_Runs = 0;
  unsigned m_ReturnsLeft = 1;
};
using RequestHandle = std::shared_ptr<Request>;

struct Instance {
  std::unique_ptr<Gossip> m_Gossip;
  std::size_t m_Life = 0;
  bool m_IsUp = true;
  bool m_IsCut = false;
  TimePoint m_StartedAt{};
  TimePoint m_TroubledAt{}; ///< When the last trouble ended.

  bool isReached() const { return m_IsUp && !m_IsCut; }
};

struct Target {
  quarantine::IncarnationHash m_Run = 0;
  bool m_IsUp = true;
  std::vector<RequestHandle> m_Running;
};

class Fleet {
public:
  explicit Fleet(const QuarantineDay &Day) : m_Day(Day), m_Random(Day.m_Seed) {}

  QuarantineOutcome run();

private:
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Number;
    std::function<void()> m_Do;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_At, Other.m_Number) < std::tie(m_At, m_Number);
    }
  };

  void after(Duration Delay, std::function<void()> Do) {
    m_Events.push({m_Now + Delay, m_NextEvent++, std::move(Do)});
  }
  double draw() { return std::uniform_real_distribution<double>()(m_Random); }
  std::size_t drawBelow(std::size_t Most) { return m_Random() % Most; }
  Duration drawGap(double Rate) {
    return core::fromSeconds(std::exponential_distribution<>(Rate)(m_Random));
  }

  void startInstance(std::size_t Index);
  void upkeep(std::size_t Index);
  void tell(std::size_t From, std::size_t To,
            const std::vector<Observation> &Seen);
  void keepStore();
  void readStore(std::size_t Index);
  void begin(const QuarantineFault &What);
  void end(const QuarantineFault &What, const std::vector<std::size_t> &Whom);
  void arriveInnocent();
  void arriveBad(std::size_t Number);
  void arrive(const RequestHandle &What);
  void send(const RequestHandle &What);
  void finish(std::size_t Where, quarantine::IncarnationHash Run,
              const RequestHandle &What);
  void endTarget(std::size_t Where);
  void brokeOff(quarantine::IncarnationHash Run, const RequestHandle &What);
  void noteSend(const Request &What);
  bool isInTouch(const Instance &Which) const;
  bool isRefused(const Request &What) const;
  void refuse(const Request &What);

  QuarantineDay m_Day;
  std::mt19937_64 m_Random;
  TimePoint m_Now{std::chrono::hours(1)};
  TimePoint m_End{};
  std::priority_queue<Event> m_Events;
  std::uint64_t m_NextEvent = 0;
  std::vector<Instance> m_Instances;
  std::vector<Target> m_Targets;
  quarantine::IncarnationHash m_NextRun = 1;
  std::uint64_t m_NextContent = 1000;
  std::string m_Store;
  bool m_IsStoreUp = true;
  TimePoint m_StoreTroubledAt{};
  std::map<ContentDigest, std::vector<TimePoint>> m_Ends; ///< Of bad ones.
  std::map<ContentDigest, std::size_t> m_LateSends;
  QuarantineOutcome m_Outcome;
};

void Fleet::startInstance(std::size_t Index) {
  Instance &Which = m_Instances[Index];
  quarantine::GossipHooks Hooks;
  Hooks.m_Broadcast = [this, Index](const std::vector<Observation> &Seen) {
    for (std::size_t To = 0; To < m_Instances.size(); ++To)
      if (To != Index)
        tell(Index, To, Seen);
  };
  Hooks.m_SendToSample = [this, Index](const std::vector<Observation> &Seen) {
    for (int I = 0; I < 2; ++I)
      tell(Index, drawBelow(m_Instances.size()), Seen);
  };
  Which.m_Gossip = std::make_unique<Gossip>(Hooks);
  Which.m_IsUp = true;
  Which.m_StartedAt = m_Now;
  Which.m_TroubledAt = m_Now;
  ++Which.m_Life;
  readStore(Index);
}

void Fleet::upkeep(std::size_t Index) {
  if (m_Instances[Index].m_IsUp)
    m_Instances[Index].m_Gossip->upkeep(m_Now);
  after(UpkeepPeriod, [this, Index] { upkeep(Index); });
}

void Fleet::tell(std::size_t From, std::size_t To,
                 const std::vector<Observation> &Seen) {
  ++m_Outcome.m_Datagrams;
  if (m_Instances[From].m_IsCut || draw() < m_Day.m_Loss)
    return;
  after(core::fromSeconds(0.0005 + 0.003 * draw()), [this, To, Seen] {
    if (m_Instances[To].isReached())
      m_Instances[To].m_Gossip->merge(Seen, m_Now);
  });
}

void Fleet::readStore(std::size_t Index) {
  if (m_IsStoreUp && m_Instances[Index].isReached())
    m_Instances[Index].m_Gossip->mergeStored(m_Store, m_Now);
}

void Fleet::keepStore() {
  after(WritePeriod, [this] { keepStore(); });
  auto Keeper = std::find_if(
      m_Instances.begin(), m_Instances.end(), [this](const Instance &Each) {
        return Each.isReached() && m_Now - Each.m_StartedAt > SettleTime;
      });
  if (!m_IsStoreUp || Keeper == m_Instances.end())
    return;
  std::string Text = Keeper->m_Gossip->storedText();
  if (Text == m_Store)
    return;
  m_Store = Text;
  ++m_Outcome.m_StoreWrites;
  for (std::size_t I = 0; I < m_Instances.size(); ++I)
    after(core::fromSeconds(0.02 + 0.3 * draw()), [this, I] { readStore(I); });
}

//===----------------------------------------------------------------------===//
// Faults
//===----------------------------------------------------------------------===//

void Fleet::begin(const QuarantineFault &What) {
  std::vector<std::size_t> Whom;
  bool IsOfTargets = What.m_Kind == QuarantineFaultKind::EndTargets;
  std::size_t Count = IsOfTargets ? m_Targets.size() : m_Instances.size();
  for (std::size_t I = 0; I < Count; ++I)
    if (draw() < What.m_Share)
      Whom.push_back(I);
  if (What.m_Kind == QuarantineFaultKind::StoreDown)
    m_IsStoreUp = false;
  for (std::size_t I : Whom) {
    if (IsOfTargets)
      endTarget(I);
    if (What.m_Kind == QuarantineFaultKind::Kill)
      m_Instances[I].m_IsUp = false;
    if (What.m_Kind == QuarantineFaultKind::Cut)
      m_Instances[I].m_IsCut = true;
  }
  Duration Length = What.m_Kind == QuarantineFaultKind::Kill
                        ? RestartTime
                        : Duration(What.m_Length);
  after(Length, [this, What, Whom] { end(What, Whom); });
}

void Fleet::end(const QuarantineFault &What,
                const std::vector<std::size_t> &Whom) {
  if (What.m_Kind == QuarantineFaultKind::StoreDown) {
    m_IsStoreUp = true;
    m_StoreTroubledAt = m_Now;
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      readStore(I);
  }
  for (std::size_t I : Whom) {
    if (What.m_Kind == QuarantineFaultKind::Kill)
      startInstance(I);
    if (What.m_Kind != QuarantineFaultKind::Cut)
      continue;
    m_Instances[I].m_IsCut = false;
    m_Instances[I].m_TroubledAt = m_Now;
    readStore(I);
  }
}

bool Fleet::isInTouch(const Instance &Which) const {
  return Which.isReached() && m_IsStoreUp &&
         m_Now - Which.m_TroubledAt >= m_Day.m_Contact &&
         m_Now - m_StoreTroubledAt >= m_Day.m_Contact;
}

//===----------------------------------------------------------------------===//
// Requests
//===----------------------------------------------------------------------===//

void Fleet::arriveInnocent() {
  auto What = std::make_shared<Request>();
  if (draw() < m_Day.m_PopularShare) {
    What->m_Kind = Kind::Popular;
    What->m_Content = {1, drawBelow(PopularContents)};
  } else {
    What->m_Content = {m_NextContent, m_NextContent};
    m_NextContent += 7;
  }
  arrive(What);
  after(drawGap(m_Day.m_RequestRate * static_cast<double>(m_Targets.size())),
        [this] { arriveInnocent(); });
}

void Fleet::arriveBad(std::size_t Number) {
  auto What = std::make_shared<Request>();
  What->m_Kind = Kind::Bad;
  What->m_Content = {2, Number};
  What->m_ReturnsLeft = 0;
  arrive(What);
  after(drawGap(m_Day.m_BadRate), [this, Number] { arriveBad(Number); });
}

void Fleet::arrive(const RequestHandle &What) {
  What->m_Instance = drawBelow(m_Instances.size());
  const Instance &At = m_Instances[What->m_Instance];
  if (!At.m_IsUp)
    return;
  What->m_Life = At.m_Life;
  What->m_Runs = 0;
  m_Outcome.m_Innocents += What->m_Kind != Kind::Bad;
  send(What);
}

bool Fleet::isRefused(const Request &What) const {
  const Gossip &Own = *m_Instances[What.m_Instance].m_Gossip;
  return Own.table().incriminatingIncarnations(What.m_Content) >=
         m_Day.m_RefusedFrom;
}

void Fleet::refuse(const Request &What) {
  m_Outcome.m_InnocentsLost += What.m_Kind != Kind::Bad;
  m_Outcome.m_WronglyRefused += What.m_Kind != Kind::Bad;
  m_Outcome.m_PopularRefused += What.m_Kind == Kind::Popular;
}

void Fleet::noteSend(const Request &What) {
  const std::vector<TimePoint> &Ends = m_Ends[What.m_Content];
  if (Ends.size() >= Third && m_Now > Ends[Third - 1] + m_Day.m_Contact &&
      isInTouch(m_Instances[What.m_Instance]))
    ++m_LateSends[What.m_Content];
}

void Fleet::send(const RequestHandle &What) {
  if (isRefused(*What))
    return refuse(*What);
  Target *Where = nullptr;
  std::size_t Offset = drawBelow(m_Targets.size());
  for (std::size_t I = 0; I < m_Targets.size(); ++I) {
    Target &Each = m_Targets[(I + Offset) % m_Targets.size()];
    if (Each.m_IsUp && Each.m_Running.size() < m_Day.m_Slots &&
        (!Where || Each.m_Running.size() < Where->m_Running.size()))
      Where = &Each;
  }
  if (!Where)
    return;
  ++What->m_Runs;
  Where->m_Running.push_back(What);
  Duration Time = Duration(m_Day.m_BadTime);
  if (What->m_Kind == Kind::Bad)
    noteSend(*What);
  else
    Time = What->m_Kind == Kind::Popular ? Duration(60ms) : drawGap(1) + 50ms;
  auto Index = static_cast<std::size_t>(Where - m_Targets.data());
  after(Time,
        [this, Index, Run = Where->m_Run, What] { finish(Index, Run, What); });
}

void Fleet::finish(std::size_t Where, quarantine::IncarnationHash Run,
                   const RequestHandle &What) {
  Target &At = m_Targets[Where];
  if (At.m_Run != Run || !At.m_IsUp)
    return;
  if (What->m_Kind == Kind::Bad) {
    m_Ends[What->m_Content].push_back(m_Now);
    ++m_Outcome.m_EndsUnderBad;
    return endTarget(Where);
  }
  At.m_Running.erase(std::find(At.m_Running.begin(), At.m_Running.end(), What));
  Instance &From = m_Instances[What->m_Instance];
  if (From.m_IsUp && From.m_Life == What->m_Life)
    From.m_Gossip->noteSuccess(What->m_Content, m_Now);
}

void Fleet::endTarget(std::size_t Where) {
  Target &Which = m_Targets[Where];
  if (!Which.m_IsUp)
    return;
  Which.m_IsUp = false;
  std::vector<RequestHandle> Broken;
  Broken.swap(Which.m_Running);
  for (const RequestHandle &Each : Broken)
    after(ProbeTime, [this, Run = Which.m_Run, Each] { brokeOff(Run, Each); });
  after(m_Day.m_DownTime, [this, Where] {
    m_Targets[Where].m_Run = m_NextRun++;
    m_Targets[Where].m_IsUp = true;
  });
}

void Fleet::brokeOff(quarantine::IncarnationHash Run,
                     const RequestHandle &What) {
  m_Outcome.m_InnocentsBroken += What->m_Kind != Kind::Bad;
  Instance &At = m_Instances[What->m_Instance];
  bool IsGone = !At.m_IsUp || At.m_Life != What->m_Life;
  if (!IsGone) {
    At.m_Gossip->noteTargetExit(What->m_Content, Run, m_Now);
    bool IsSentOn = m_Day.m_IsSuspectSentOn ||
                    !At.m_Gossip->table().isSuspect(What->m_Content);
    if (What->m_Runs < MaxIncarnations && IsSentOn)
      return send(What);
  }
  if (What->m_ReturnsLeft == 0) {
    m_Outcome.m_InnocentsLost += What->m_Kind != Kind::Bad;
    return;
  }
  --What->m_ReturnsLeft;
  after(ReturnTime, [this, What] { arrive(What); });
}

QuarantineOutcome Fleet::run() {
  m_End = m_Now + m_Day.m_Length;
  m_Instances.resize(m_Day.m_Instances);
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    startInstance(I);
    m_Instances[I].m_StartedAt = m_Now - SettleTime * 2;
    after(core::fromSeconds(0.25 * draw()), [this, I] { upkeep(I); });
  }
  m_Targets.resize(m_Day.m_Targets);
  for (Target &Each : m_Targets)
    Each.m_Run = m_NextRun++;
  keepStore();
  arriveInnocent();
  for (std::size_t I = 0; I < m_Day.m_BadContents; ++I)
    after(core::fromSeconds(1 + 5 * draw()), [this, I] { arriveBad(I); });
  for (const QuarantineFault &Each : m_Day.m_Faults)
    after(Each.m_At, [this, Each] { begin(Each); });
  while (!m_Events.empty() && m_Events.top().m_At < m_End) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Do();
  }
  for (const auto &[Content, Count] : m_LateSends)
    m_Outcome.m_LateSends = std::max(m_Outcome.m_LateSends, Count);
  return m_Outcome;
}

} // namespace

QuarantineOutcome play(const QuarantineDay &Day) { return Fleet(Day).run(); }

QuarantineDay drawQuarantineDay(std::uint64_t Seed, std::size_t Instances,
                                std::size_t Targets) {
  std::mt19937_64 Random(Seed);
  auto Draw = [&Random](double Least, double Most) {
    return std::uniform_real_distribution<double>(Least, Most)(Random);
  };
  auto Milliseconds = [&Draw](double Least, double Most) {
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(Draw(Least, Most)));
  };
  QuarantineDay Out;
  Out.m_Seed = Seed;
  Out.m_Instances = Instances;
  Out.m_Targets = Targets;
  Out.m_BadContents = 1 + Random() % 4;
  Out.m_BadRate = Draw(0.3, 6);
  Out.m_BadTime = Milliseconds(5, 400);
  Out.m_DownTime = Milliseconds(500, 6000);
  Out.m_Loss = Random() % 3 == 0 ? Draw(0.05, 0.3) : 0.01;
  std::size_t Faults = Random() % 6;
  for (std::size_t I = 0; I < Faults; ++I) {
    QuarantineFault Fault;
    Fault.m_At = Milliseconds(1000, 55000);
    Fault.m_Length = Milliseconds(500, 10000);
    Fault.m_Kind = static_cast<QuarantineFaultKind>(Random() % 4);
    Fault.m_Share = Random() % 3 == 0 ? 1 : Draw(0.05, 0.7);
    Out.m_Faults.push_back(Fault);
  }
  return Out;
}

} // namespace yardrill::tests
