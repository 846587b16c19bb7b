#include "RolloutSimulation.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <random>

namespace yardrill::tests {

using namespace rollout;
using std::chrono::milliseconds;

static constexpr milliseconds Step{10};
static constexpr milliseconds LinkDelay{3};
static constexpr milliseconds RestartTime{800};
static constexpr double LossShare = 0.01;
static constexpr std::size_t MaxBadResponses = 50;
/// Median response time in milliseconds.
static constexpr double MedianResponseMs = 60;

namespace {

struct RunningRequest {
  core::TimePoint m_EndsAt{};
  std::size_t m_Instance = 0;
  ResponseCountsKey m_Key;
  ResponseQuality m_Quality = ResponseQuality::Succeeded;
  core::Duration m_Time{};

  bool operator<(const RunningRequest &Other) const {
    return m_EndsAt > Other.m_EndsAt; // The queue returns the earliest first.
  }
};

struct Instance {
  std::unique_ptr<Participant> m_Participant;
  core::TimePoint m_DownUntil{};
  core::TimePoint m_CutUntil{};
  core::TimePoint m_ReportsAt{};
  std::uint32_t m_RunningOld = 0;
  std::uint64_t m_Incarnation = 0;
};

class RolloutSimulation {
public:
  RolloutSimulation(const RolloutScenario &Scenario, std::uint64_t Seed)
      : m_Scenario(Scenario), m_Random(Seed),
        m_Instances(Scenario.m_Instances) {
    m_Order.m_Id = OrderId(7);
    m_Order.m_Version = core::TargetVersion("v2");
    m_Order.m_BakeTime = Scenario.m_BakeTime;
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      start(I, core::Duration::zero());
    for (Instance &Each : m_Instances)
      Each.m_ReportsAt = m_Now + drawDuration(period());
    startCoordinator();
  }

  RolloutResult run() {
    core::Duration End = m_Order.m_BakeTime + std::chrono::seconds(8);
    while (m_Now - Begin < End) {
      m_Now += Step;
      injectFaults();
      restartCoordinator();
      finishRequests();
      sendRequests();
      report();
      decide();
    }
    double Deadline = core::toSeconds(m_Order.m_BakeTime);
    m_Result.m_ExcessRequests = m_SentNew - m_Scenario.m_MaxShare *
                                                m_Scenario.m_RequestsPerSecond *
                                                Deadline;
    return m_Result;
  }

private:
  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  core::Duration drawDuration(core::Duration Max) {
    return core::fromSeconds(draw() * core::toSeconds(Max));
  }
  core::Duration period() const { return reportPeriod(m_Scenario.m_Instances); }
  double elapsedSeconds() const { return core::toSeconds(m_Now - Begin); }
  bool hasDecided() const { return m_Result.m_Decision.has_value(); }

  void start(std::size_t Index, core::Duration Age) {
    Instance &Each = m_Instances[Index];
    Each.m_Participant = std::make_unique<Participant>(m_Order, Age, m_Now);
    Each.m_Incarnation = ++m_Incarnations;
    Each.m_RunningOld = 0;
  }

  void startCoordinator() {
    m_Coordinator = std::make_unique<Coordinator>(
        m_Order, ExposureLimits{m_Scenario.m_MaxShare, 50}, m_Now);
    m_CoordinatorSince = m_Now;
  }

  /// Restarts the coordinating instance, and lets the next one coordinate.
  void restartCoordinator() {
    core::Duration Period = m_Scenario.m_CoordinatorRestartPeriod;
    if (Period == core::Duration::zero() || hasDecided() ||
        m_Now - m_CoordinatorSince < Period)
      return;
    m_Instances[m_CoordinatorIndex].m_DownUntil = m_Now + RestartTime;
    start(m_CoordinatorIndex, m_Now - Begin);
    m_CoordinatorIndex = (m_CoordinatorIndex + 1) % m_Instances.size();
    startCoordinator();
  }

  void injectFaults() {
    double Chance = core::toSeconds(Step) / 2; // One per 2 s on average.
    std::size_t Index = m_Random() % m_Instances.size();
    if (m_Scenario.m_HasKills && draw() < Chance) {
      m_Instances[Index].m_DownUntil = m_Now + RestartTime;
      start(Index, core::Duration::zero());
    }
    if (m_Scenario.m_HasCuts && draw() < Chance)
      m_Instances[Index].m_CutUntil = m_Now + milliseconds(4000);
    if (m_Scenario.m_HasGrayFailures && m_GrayUntil < m_Now &&
        draw() < Chance / 2) {
      m_GrayUntil = m_Now + milliseconds(4000);
      m_GrayOffset = m_Random() % 7;
    }
  }

  bool isGray(std::size_t Target) const {
    return m_Now < m_GrayUntil && (Target + m_GrayOffset) % 7 == 0;
  }

  /// Returns the target of the new version that the instance's group samples
  /// now.
  std::size_t sampledTarget(std::size_t Index) const {
    auto Slot = static_cast<std::size_t>(elapsedSeconds());
    return (Index / 8 + Slot * 7) % m_Scenario.m_Targets;
  }

  bool isBadResponse(std::size_t Route, Traffic CurrentTraffic) {
    bool IsRarest = Route + 1 == m_Scenario.m_RouteShares.size();
    bool IsAffected = false;
    switch (m_Scenario.m_Behavior) {
    case VersionBehavior::Good:
      break;
    case VersionBehavior::Fails:
    case VersionBehavior::Slow:
      IsAffected = true;
      break;
    case VersionBehavior::FailsLate:
      IsAffected = elapsedSeconds() > core::toSeconds(m_Order.m_BakeTime) * 0.5;
      break;
    case VersionBehavior::FailsUnderLoad:
      // A sampled target gets the load that each has after the roll-out.
      IsAffected = CurrentTraffic != Traffic::Old;
      break;
    case VersionBehavior::FailsOnOneRoute:
    case VersionBehavior::SlowOnOneRoute:
      IsAffected = IsRarest;
      break;
    }
    return IsAffected && draw() < m_Scenario.m_BadShare;
  }

  bool isSlowBehavior() const {
    return m_Scenario.m_Behavior == VersionBehavior::Slow ||
           m_Scenario.m_Behavior == VersionBehavior::SlowOnOneRoute;
  }

  std::size_t drawRoute() {
    double Point = draw();
    for (std::size_t I = 0; I < m_Scenario.m_RouteShares.size(); ++I) {
      Point -= m_Scenario.m_RouteShares[I];
      if (Point < 0)
        return I;
    }
    return m_Scenario.m_RouteShares.size() - 1;
  }

  void sendRequests() {
    double Mean = m_Scenario.m_RequestsPerSecond * core::toSeconds(Step);
    int Count = std::poisson_distribution<int>(Mean)(m_Random);
    for (int I = 0; I < Count; ++I)
      sendRequest(m_Random() % m_Instances.size());
  }

  void sendRequest(std::size_t Index) {
    Instance &By = m_Instances[Index];
    if (m_Now < By.m_DownUntil)
      return;
    std::size_t Route = drawRoute();
    auto RouteHash = static_cast<std::uint32_t>(Route + 1);
    Traffic CurrentTraffic = By.m_Participant->traffic(m_Now);
    bool IsNew = CurrentTraffic == Traffic::New ||
                 By.m_Participant->isSampleDue(RouteHash, m_Now);
    // All instances except those that are cut off know the decision by then.
    bool IsDecisionKnown =
        hasDecided() && m_Now > m_DecisionKnownAt && By.m_CutUntil < m_Now;
    if (IsDecisionKnown)
      IsNew = m_Result.m_Decision->m_State == State::Completed;
    By.m_Participant->recordSent(RouteHash, IsNew, m_Now);
    countSent(IsNew);
    std::size_t Target = IsNew && CurrentTraffic == Traffic::Sample
                             ? sampledTarget(Index)
                             : m_Random() % m_Scenario.m_Targets;
    RunningRequest Next;
    Next.m_Instance = Index;
    Next.m_Key = {IsNew ? Side::New : Side::Old,
                  static_cast<std::uint32_t>(Target + (IsNew ? 100000 : 0)),
                  RouteHash};
    double Ms = MedianResponseMs *
                std::exp(std::normal_distribution<double>(0, 0.35)(m_Random));
    if (Target % 3 == 0)
      Ms *= m_Scenario.m_SlowHardwareFactor;
    bool IsFailure = draw() < m_Scenario.m_BaselineFailureRates[Route] ||
                     (isGray(Target) && draw() < 0.45);
    bool IsBad = IsNew && isBadResponse(Route, CurrentTraffic);
    if (IsBad && isSlowBehavior())
      Ms *= m_Scenario.m_SlowdownFactor;
    else if (IsBad)
      IsFailure = true;
    if (IsBad && ++m_BadResponses == MaxBadResponses)
      m_FiftiethAt = m_Now;
    Next.m_Quality =
        IsFailure ? ResponseQuality::Failed : ResponseQuality::Succeeded;
    Next.m_Time = core::fromSeconds(Ms / 1000);
    Next.m_EndsAt = m_Now + Next.m_Time;
    By.m_RunningOld += IsNew ? 0 : 1;
    m_Running.push(Next);
  }

  void countSent(bool IsNew) {
    if (IsNew && elapsedSeconds() <= core::toSeconds(m_Order.m_BakeTime))
      ++m_SentNew;
    if (IsNew && m_BadResponses >= MaxBadResponses)
      m_Result.m_LastAfterFiftieth = core::toSeconds(m_Now - m_FiftiethAt);
  }

  void finishRequests() {
    while (!m_Running.empty() && m_Running.top().m_EndsAt <= m_Now) {
      RunningRequest Ended = m_Running.top();
      m_Running.pop();
      Instance &By = m_Instances[Ended.m_Instance];
      By.m_Participant->recordResponse(Ended.m_Key, Ended.m_Quality,
                                       Ended.m_Time, m_Now);
      if (Ended.m_Key.m_Side == Side::Old && By.m_RunningOld > 0)
        --By.m_RunningOld;
    }
  }

  void report() {
    for (Instance &Each : m_Instances) {
      if (m_Now < Each.m_ReportsAt || m_Now < Each.m_DownUntil)
        continue;
      Each.m_ReportsAt = m_Now + period();
      Report CurrentReport =
          Each.m_Participant->report(Each.m_RunningOld, m_Now);
      bool IsLost = m_Now < Each.m_CutUntil || draw() < LossShare;
      if (IsLost)
        continue;
      Permit NewPermit =
          m_Coordinator->handleReport(core::IncarnationId(Each.m_Incarnation),
                                      CurrentReport, m_Now + LinkDelay);
      if (draw() >= LossShare)
        Each.m_Participant->applyPermit(NewPermit, m_Now + 2 * LinkDelay);
    }
  }

  void decide() {
    if (hasDecided() || m_Now < m_EvaluatesAt)
      return;
    m_EvaluatesAt = m_Now + EvaluationPeriod;
    PoolCapacity Capacity{m_Scenario.m_Targets * 4, m_Scenario.m_Targets * 4};
    auto End = m_Coordinator->decide(Capacity, m_Now - Begin, m_Now);
    if (!End)
      return;
    m_Result.m_Decision = End;
    m_Result.m_EndedAfter = elapsedSeconds();
    // Time for the write to the store and its propagation.
    m_DecisionKnownAt = m_Now + milliseconds(300);
  }

  static constexpr core::TimePoint Begin{std::chrono::hours(1)};

  RolloutScenario m_Scenario;
  std::mt19937_64 m_Random;
  core::TimePoint m_Now = Begin;
  Order m_Order;
  std::vector<Instance> m_Instances;
  std::unique_ptr<Coordinator> m_Coordinator;
  std::size_t m_CoordinatorIndex = 0;
  core::TimePoint m_CoordinatorSince{};
  std::priority_queue<RunningRequest> m_Running;
  std::uint64_t m_Incarnations = 0;
  core::TimePoint m_EvaluatesAt{};
  core::TimePoint m_DecisionKnownAt{};
  core::TimePoint m_GrayUntil{};
  std::size_t m_GrayOffset = 0;
  std::size_t m_BadResponses = 0;
  core::TimePoint m_FiftiethAt{};
  double m_SentNew = 0;
  RolloutResult m_Result;
};

} // namespace

RolloutResult simulateRollout(const RolloutScenario &Scenario,
                              std::uint64_t Seed) {
  return RolloutSimulation(Scenario, Seed).run();
}

} // namespace yardrill::tests
