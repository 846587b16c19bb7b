#include "QuarantineSimulation.h"

#include "EventSimulation.h"

#include "LibQuarantine/TrialSchedule.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace yardrill::tests {

using namespace std::chrono_literals;
using core::Duration;
using core::TimePoint;
using quarantine::ContentDigest;
using quarantine::Gossip;
using quarantine::Observation;

static constexpr Duration MaintenancePeriod = 250ms;
static constexpr Duration WritePeriod = 500ms;
/// Time after a start from which an instance may write to the store; a real one
/// has found its peers by then.
static constexpr Duration SettleTime = 3s;
static constexpr Duration RestartTime = 500ms;
/// Time until an instance detects that a target refuses connections.
static constexpr Duration ProbeTime = 3ms;
static constexpr Duration RetryDelay = 300ms;
static constexpr unsigned MaxSends = 2; ///< Sends of one attempt to targets.
static constexpr std::size_t PopularContents = 5;
static constexpr std::size_t Third = 3;
static constexpr std::size_t Fifth = 5;
static constexpr std::size_t FirstParts = 20;
static constexpr std::size_t Documents = 100;

namespace {

enum class Kind { Bad, Popular, Unique };

struct Request {
  Kind m_Kind = Kind::Unique;
  ContentDigest m_Content; ///< The bad one of a bad request.
  std::vector<ContentDigest> m_Contents;
  std::size_t m_Instance = 0;
  std::size_t m_Incarnation = 0; ///< Incarnation of the instance.
  bool m_IsTrial = false;
  unsigned m_Sends = 0;
  unsigned m_RetriesLeft = 1;
};
using RequestHandle = std::shared_ptr<Request>;

struct Instance {
  std::unique_ptr<Gossip> m_Gossip;
  std::unique_ptr<quarantine::TrialSchedule> m_Trials;
  std::size_t m_Incarnation = 0;
  bool m_IsUp = true;
  bool m_IsCut = false;
  TimePoint m_StartedAt{};
  TimePoint m_RecoveredAt{}; ///< End of the last fault.

  bool isReachable() const { return m_IsUp && !m_IsCut; }
};

struct Target {
  quarantine::IncarnationHash m_IncarnationHash = 0;
  bool m_IsUp = true;
  std::vector<RequestHandle> m_Running;
};

class QuarantineSimulation : private EventSimulation {
public:
  explicit QuarantineSimulation(const QuarantineScenario &Scenario)
      : EventSimulation(Scenario.m_Seed), m_Scenario(Scenario) {}

  QuarantineResult run();

private:
  void startInstance(std::size_t Index);
  void upkeep(std::size_t Index);
  void sendObservations(std::size_t From, std::size_t To,
                        const std::vector<Observation> &Observations);
  void writeStore();
  void readStore(std::size_t Index);
  void beginFault(const QuarantineFaultEvent &Fault);
  void endFault(const QuarantineFaultEvent &Fault,
                const std::vector<std::size_t> &Affected);
  void generateHarmless();
  void generateBad(std::size_t Number);
  void arrive(const RequestHandle &Current);
  void send(const RequestHandle &Current);
  void finish(std::size_t Index, quarantine::IncarnationHash Incarnation,
              const RequestHandle &Current);
  void exitTarget(std::size_t Index);
  void handleInterruption(quarantine::IncarnationHash Incarnation,
                          const RequestHandle &Current);
  void recordSend(const Request &Current);
  bool isConnected(const Instance &Sender) const;
  bool isRefused(const Request &Current) const;
  bool isSuspect(const Request &Current) const;
  void countCompanion(const Request &Current);
  ContentDigest firstPart() {
    return ContentDigest::ofPart(1, std::to_string(drawBelow(FirstParts)));
  }
  static ContentDigest document(std::size_t Number) {
    return ContentDigest::ofPart(2, std::to_string(Number));
  }
  void refuse(const Request &Current);

  QuarantineScenario m_Scenario;
  std::vector<Instance> m_Instances;
  std::vector<Target> m_Targets;
  quarantine::IncarnationHash m_NextIncarnation = 1;
  std::uint64_t m_NextContent = 1000;
  std::string m_Store;
  bool m_IsStoreUp = true;
  TimePoint m_StoreRecoveredAt{};
  std::map<ContentDigest, std::vector<TimePoint>> m_Exits; ///< By bad content.
  std::map<ContentDigest, std::size_t> m_LateSends;
  QuarantineResult m_Result;
};

void QuarantineSimulation::startInstance(std::size_t Index) {
  Instance &Started = m_Instances[Index];
  quarantine::GossipHooks Hooks;
  Hooks.m_Broadcast = [this,
                       Index](const std::vector<Observation> &Observations) {
    for (std::size_t To = 0; To < m_Instances.size(); ++To)
      if (To != Index)
        sendObservations(Index, To, Observations);
  };
  Hooks.m_SendToSample = [this,
                          Index](const std::vector<Observation> &Observations) {
    for (int I = 0; I < 2; ++I)
      sendObservations(Index, drawBelow(m_Instances.size()), Observations);
  };
  Hooks.m_Changed = [this, Index](const ContentDigest &Content, bool IsBad) {
    if (!IsBad && m_Instances[Index].m_Trials)
      m_Instances[Index].m_Trials->forget(Content);
  };
  Started.m_Trials.reset();
  Started.m_Gossip = std::make_unique<Gossip>(Hooks);
  Started.m_Trials = std::make_unique<quarantine::TrialSchedule>(
      Started.m_Gossip->table(), [this, Index](const ContentDigest &Content) {
        return Content.m_High % m_Instances.size() == Index;
      });
  Started.m_IsUp = true;
  Started.m_StartedAt = m_Now;
  Started.m_RecoveredAt = m_Now;
  ++Started.m_Incarnation;
  readStore(Index);
}

void QuarantineSimulation::upkeep(std::size_t Index) {
  if (m_Instances[Index].m_IsUp)
    m_Instances[Index].m_Gossip->upkeep(m_Now);
  after(MaintenancePeriod, [this, Index] { upkeep(Index); });
}

void QuarantineSimulation::sendObservations(
    std::size_t From, std::size_t To,
    const std::vector<Observation> &Observations) {
  ++m_Result.m_Datagrams;
  if (m_Instances[From].m_IsCut || draw() < m_Scenario.m_DatagramLoss)
    return;
  after(core::fromSeconds(0.0005 + 0.003 * draw()), [this, To, Observations] {
    if (m_Instances[To].isReachable())
      m_Instances[To].m_Gossip->merge(Observations, m_Now);
  });
}

void QuarantineSimulation::readStore(std::size_t Index) {
  if (m_IsStoreUp && m_Instances[Index].isReachable())
    m_Instances[Index].m_Gossip->mergeStored(m_Store, m_Now);
}

void QuarantineSimulation::writeStore() {
  after(WritePeriod, [this] { writeStore(); });
  auto Writer = std::find_if(
      m_Instances.begin(), m_Instances.end(), [this](const Instance &Each) {
        return Each.isReachable() && m_Now - Each.m_StartedAt > SettleTime;
      });
  if (!m_IsStoreUp || Writer == m_Instances.end())
    return;
  std::string Text = Writer->m_Gossip->storedText();
  if (Text == m_Store)
    return;
  m_Store = Text;
  ++m_Result.m_StoreWrites;
  for (std::size_t I = 0; I < m_Instances.size(); ++I)
    after(core::fromSeconds(0.02 + 0.3 * draw()), [this, I] { readStore(I); });
}

//===----------------------------------------------------------------------===//
// Faults
//===----------------------------------------------------------------------===//

void QuarantineSimulation::beginFault(const QuarantineFaultEvent &Fault) {
  std::vector<std::size_t> Affected;
  bool AffectsTargets = Fault.m_Kind == QuarantineFaultKind::ExitTargets;
  std::size_t Count = AffectsTargets ? m_Targets.size() : m_Instances.size();
  for (std::size_t I = 0; I < Count; ++I)
    if (draw() < Fault.m_Share)
      Affected.push_back(I);
  if (Fault.m_Kind == QuarantineFaultKind::StoreDown)
    m_IsStoreUp = false;
  for (std::size_t I : Affected) {
    if (AffectsTargets)
      exitTarget(I);
    if (Fault.m_Kind == QuarantineFaultKind::Kill)
      m_Instances[I].m_IsUp = false;
    if (Fault.m_Kind == QuarantineFaultKind::Cut)
      m_Instances[I].m_IsCut = true;
  }
  Duration Length = Fault.m_Kind == QuarantineFaultKind::Kill
                        ? RestartTime
                        : Duration(Fault.m_Length);
  after(Length, [this, Fault, Affected] { endFault(Fault, Affected); });
}

void QuarantineSimulation::endFault(const QuarantineFaultEvent &Fault,
                                    const std::vector<std::size_t> &Affected) {
  if (Fault.m_Kind == QuarantineFaultKind::StoreDown) {
    m_IsStoreUp = true;
    m_StoreRecoveredAt = m_Now;
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      readStore(I);
  }
  for (std::size_t I : Affected) {
    if (Fault.m_Kind == QuarantineFaultKind::Kill)
      startInstance(I);
    if (Fault.m_Kind != QuarantineFaultKind::Cut)
      continue;
    m_Instances[I].m_IsCut = false;
    m_Instances[I].m_RecoveredAt = m_Now;
    readStore(I);
  }
}

bool QuarantineSimulation::isConnected(const Instance &Sender) const {
  return Sender.isReachable() && m_IsStoreUp &&
         m_Now - Sender.m_RecoveredAt >= m_Scenario.m_ContactTime &&
         m_Now - m_StoreRecoveredAt >= m_Scenario.m_ContactTime;
}

//===----------------------------------------------------------------------===//
// Requests
//===----------------------------------------------------------------------===//

void QuarantineSimulation::generateHarmless() {
  auto Current = std::make_shared<Request>();
  if (draw() < m_Scenario.m_PopularShare) {
    Current->m_Kind = Kind::Popular;
    Current->m_Content = {1, drawBelow(PopularContents)};
  } else {
    Current->m_Content = {m_NextContent, m_NextContent};
    m_NextContent += 7;
  }
  Current->m_Contents = {Current->m_Content};
  if (m_Scenario.m_AreParts) {
    Current->m_Contents.push_back(firstPart());
    if (draw() < 0.5)
      Current->m_Contents.push_back(document(drawBelow(Documents)));
  }
  arrive(Current);
  after(drawInterval(m_Scenario.m_RequestRate *
                     static_cast<double>(m_Targets.size())),
        [this] { generateHarmless(); });
}

void QuarantineSimulation::generateBad(std::size_t Number) {
  auto Current = std::make_shared<Request>();
  Current->m_Kind = Kind::Bad;
  Current->m_Content = {2, Number};
  Current->m_Contents = {Current->m_Content};
  if (m_Scenario.m_AreParts) {
    Current->m_Contents = {{m_NextContent, m_NextContent},
                           firstPart(),
                           Current->m_Content,
                           document(Number)};
    m_NextContent += 7;
  }
  Current->m_RetriesLeft = 0;
  arrive(Current);
  after(drawInterval(m_Scenario.m_BadRate),
        [this, Number] { generateBad(Number); });
}

void QuarantineSimulation::arrive(const RequestHandle &Current) {
  Current->m_Instance = drawBelow(m_Instances.size());
  const Instance &At = m_Instances[Current->m_Instance];
  if (!At.m_IsUp)
    return;
  Current->m_Incarnation = At.m_Incarnation;
  Current->m_Sends = 0;
  m_Result.m_HarmlessAttempts += Current->m_Kind != Kind::Bad;
  Current->m_IsTrial = isRefused(*Current) && m_Scenario.m_HasTrials &&
                       m_Instances[Current->m_Instance].m_Trials->tryBegin(
                           Current->m_Contents, m_Now);
  countCompanion(*Current);
  send(Current);
}

bool QuarantineSimulation::isRefused(const Request &Current) const {
  const Gossip &Own = *m_Instances[Current.m_Instance].m_Gossip;
  return std::any_of(Current.m_Contents.begin(), Current.m_Contents.end(),
                     [&](const ContentDigest &Each) {
                       return Own.table().incriminatingIncarnations(Each) >=
                              m_Scenario.m_QuarantineThreshold;
                     });
}

bool QuarantineSimulation::isSuspect(const Request &Current) const {
  const Gossip &Own = *m_Instances[Current.m_Instance].m_Gossip;
  return std::any_of(
      Current.m_Contents.begin(), Current.m_Contents.end(),
      [&](const ContentDigest &Each) { return Own.table().isSuspect(Each); });
}

void QuarantineSimulation::countCompanion(const Request &Current) {
  if (!m_Scenario.m_AreParts || Current.m_Kind == Kind::Bad)
    return;
  for (std::size_t Number = 0; Number < m_Scenario.m_BadContents; ++Number) {
    const std::vector<TimePoint> &Exits = m_Exits[{2, Number}];
    bool HasCompanion =
        std::find(Current.m_Contents.begin(), Current.m_Contents.end(),
                  document(Number)) != Current.m_Contents.end();
    if (!HasCompanion || Exits.size() < Third ||
        m_Now < Exits[Third - 1] + 2 * m_Scenario.m_ContactTime)
      continue;
    ++m_Result.m_CompanionAttempts;
    m_Result.m_CompanionRefused += isRefused(Current) && !Current.m_IsTrial;
  }
}

void QuarantineSimulation::refuse(const Request &Current) {
  m_Result.m_HarmlessLost += Current.m_Kind != Kind::Bad;
  m_Result.m_WronglyRefused += Current.m_Kind != Kind::Bad;
  m_Result.m_PopularRefused += Current.m_Kind == Kind::Popular;
}

void QuarantineSimulation::recordSend(const Request &Current) {
  const std::vector<TimePoint> &Exits = m_Exits[Current.m_Content];
  std::size_t Bound = m_Scenario.m_AreParts ? Fifth : Third;
  if (Exits.size() >= Bound &&
      m_Now > Exits[Bound - 1] + m_Scenario.m_ContactTime &&
      isConnected(m_Instances[Current.m_Instance]))
    ++m_LateSends[Current.m_Content];
}

void QuarantineSimulation::send(const RequestHandle &Current) {
  if (isRefused(*Current) && !Current->m_IsTrial)
    return refuse(*Current);
  Target *Chosen = nullptr;
  std::size_t Offset = drawBelow(m_Targets.size());
  for (std::size_t I = 0; I < m_Targets.size(); ++I) {
    Target &Each = m_Targets[(I + Offset) % m_Targets.size()];
    if (Each.m_IsUp && Each.m_Running.size() < m_Scenario.m_Slots &&
        (!Chosen || Each.m_Running.size() < Chosen->m_Running.size()))
      Chosen = &Each;
  }
  if (!Chosen)
    return;
  ++Current->m_Sends;
  Chosen->m_Running.push_back(Current);
  Duration Time = Duration(m_Scenario.m_TimeToExit);
  if (Current->m_Kind == Kind::Bad)
    recordSend(*Current);
  else
    Time = Current->m_Kind == Kind::Popular ? Duration(60ms)
                                            : drawInterval(1) + 50ms;
  auto Index = static_cast<std::size_t>(Chosen - m_Targets.data());
  after(Time, [this, Index, Incarnation = Chosen->m_IncarnationHash, Current] {
    finish(Index, Incarnation, Current);
  });
}

void QuarantineSimulation::finish(std::size_t Index,
                                  quarantine::IncarnationHash Incarnation,
                                  const RequestHandle &Current) {
  Target &At = m_Targets[Index];
  if (At.m_IncarnationHash != Incarnation || !At.m_IsUp)
    return;
  if (Current->m_Kind == Kind::Bad) {
    m_Exits[Current->m_Content].push_back(m_Now);
    ++m_Result.m_ExitsUnderBad;
    return exitTarget(Index);
  }
  At.m_Running.erase(
      std::find(At.m_Running.begin(), At.m_Running.end(), Current));
  Instance &From = m_Instances[Current->m_Instance];
  if (From.m_IsUp && From.m_Incarnation == Current->m_Incarnation)
    From.m_Gossip->noteSuccess(Current->m_Contents, m_Now);
}

void QuarantineSimulation::exitTarget(std::size_t Index) {
  Target &Exiting = m_Targets[Index];
  if (!Exiting.m_IsUp)
    return;
  Exiting.m_IsUp = false;
  std::vector<RequestHandle> Interrupted;
  Interrupted.swap(Exiting.m_Running);
  for (const RequestHandle &Each : Interrupted)
    after(ProbeTime, [this, Incarnation = Exiting.m_IncarnationHash, Each] {
      handleInterruption(Incarnation, Each);
    });
  after(m_Scenario.m_DownTime, [this, Index] {
    m_Targets[Index].m_IncarnationHash = m_NextIncarnation++;
    m_Targets[Index].m_IsUp = true;
  });
}

void QuarantineSimulation::handleInterruption(
    quarantine::IncarnationHash Incarnation, const RequestHandle &Current) {
  m_Result.m_HarmlessInterrupted += Current->m_Kind != Kind::Bad;
  Instance &At = m_Instances[Current->m_Instance];
  bool IsInstanceGone =
      !At.m_IsUp || At.m_Incarnation != Current->m_Incarnation;
  if (!IsInstanceGone) {
    At.m_Gossip->noteTargetExit(Current->m_Contents, Incarnation, m_Now);
    bool IsRetried = m_Scenario.m_RetriesSuspects || !isSuspect(*Current);
    if (Current->m_Sends < MaxSends && IsRetried)
      return send(Current);
  }
  if (Current->m_RetriesLeft == 0) {
    m_Result.m_HarmlessLost += Current->m_Kind != Kind::Bad;
    return;
  }
  --Current->m_RetriesLeft;
  after(RetryDelay, [this, Current] { arrive(Current); });
}

QuarantineResult QuarantineSimulation::run() {
  TimePoint End = m_Now + m_Scenario.m_Length;
  m_Instances.resize(m_Scenario.m_Instances);
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    startInstance(I);
    m_Instances[I].m_StartedAt = m_Now - SettleTime * 2;
    after(core::fromSeconds(0.25 * draw()), [this, I] { upkeep(I); });
  }
  m_Targets.resize(m_Scenario.m_Targets);
  for (Target &Each : m_Targets)
    Each.m_IncarnationHash = m_NextIncarnation++;
  writeStore();
  generateHarmless();
  for (std::size_t I = 0; I < m_Scenario.m_BadContents; ++I)
    after(core::fromSeconds(1 + 5 * draw()), [this, I] { generateBad(I); });
  for (const QuarantineFaultEvent &Each : m_Scenario.m_Faults)
    after(Each.m_At, [this, Each] { beginFault(Each); });
  runUntil(End);
  for (const auto &[Content, Count] : m_LateSends)
    m_Result.m_LateSends = std::max(m_Result.m_LateSends, Count);
  return m_Result;
}

} // namespace

QuarantineResult simulate(const QuarantineScenario &Scenario) {
  return QuarantineSimulation(Scenario).run();
}

QuarantineScenario randomQuarantineScenario(std::uint64_t Seed,
                                            std::size_t Instances,
                                            std::size_t Targets) {
  std::mt19937_64 Random(Seed);
  auto Draw = [&Random](double Min, double Max) {
    return std::uniform_real_distribution<double>(Min, Max)(Random);
  };
  auto Milliseconds = [&Draw](double Min, double Max) {
    return std::chrono::milliseconds(static_cast<std::int64_t>(Draw(Min, Max)));
  };
  QuarantineScenario Out;
  Out.m_Seed = Seed;
  Out.m_Instances = Instances;
  Out.m_Targets = Targets;
  Out.m_BadContents = 1 + Random() % 4;
  Out.m_BadRate = Draw(0.3, 6);
  Out.m_TimeToExit = Milliseconds(5, 400);
  Out.m_DownTime = Milliseconds(500, 6000);
  Out.m_DatagramLoss = Random() % 3 == 0 ? Draw(0.05, 0.3) : 0.01;
  std::size_t Faults = Random() % 6;
  for (std::size_t I = 0; I < Faults; ++I) {
    QuarantineFaultEvent Fault;
    Fault.m_At = Milliseconds(1000, 55000);
    Fault.m_Length = Milliseconds(500, 10000);
    Fault.m_Kind = static_cast<QuarantineFaultKind>(Random() % 4);
    Fault.m_Share = Random() % 3 == 0 ? 1 : Draw(0.05, 0.7);
    Out.m_Faults.push_back(Fault);
  }
  return Out;
}

} // namespace yardrill::tests
