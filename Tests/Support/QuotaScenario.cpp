#include "QuotaScenario.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <sstream>

namespace yardrill::tests {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr milliseconds Length{24000};
/// Earliest fault; the full buckets of a new fleet are used up by then.
static constexpr milliseconds FirstFault{6000};
static constexpr milliseconds LastFault{19000};
static constexpr std::size_t MaxEvents = 6;
/// Share of the smallest initial limit to which operators may lower a limit.
static constexpr double LoweredLimitShare = 0.5;

static routing::QuotaTolerance tolerance(double Tokens) {
  return {0.1, Tokens, seconds(8)};
}

const std::vector<QuotaDeployment> &QuotaDeployment::all() {
  static const std::vector<QuotaRequestKind> Simulations = {
      {0.185, 6670, 1.4, 54800, 382, 3840},
      {0.221, 688, 1.0, 3510, 291, 2940},
      {0.334, 1860, 1.3, 7070, 23, 228},
      {0.26, 200, 0, 200, 0, 0}};
  static const std::vector<QuotaRequestKind> Games = {
      {0.287, 3780, 1.1, 53400, 120, 1200},
      {0.222, 2950, 1.0, 39800, 52, 520},
      {0.232, 1170, 1.0, 3990, 172, 1740},
      {0.259, 200, 0, 200, 0, 0}};
  static const std::vector<QuotaRequestKind> Tickets = {
      {0.206, 3780, 1.1, 53400, 120, 1200},
      {0.161, 2950, 1.0, 39800, 52, 522},
      {0.373, 1170, 1.0, 3990, 172, 1740},
      {0.26, 200, 0, 200, 0, 0}};
  static const std::vector<QuotaDeployment> All = {
      {"tickets", 6, 3, 47000, 150000, tolerance(190000), Tickets},
      {"games", 7, 3, 47000, 100000, tolerance(190000), Games},
      {"simulations", 6, 3, 36000, 300000, tolerance(140000), Simulations},
      {"tickets-shifted", 74, 14, 47000, 1200000, tolerance(190000), Tickets},
      {"simulations-grown", 78, 15, 36000, 1200000, tolerance(140000),
       Simulations},
      {"games-grown", 88, 16, 47000, 1000000, tolerance(190000), Games},
      {"tickets-grown", 89, 16, 47000, 1000000, tolerance(190000), Tickets},
      {"tickets-large", 295, 57, 47000, 1800000, tolerance(190000), Tickets},
      {"target", 440, 80, 36000, 1800000, tolerance(140000), Simulations}};
  return All;
}

double QuotaDeployment::largestRequest() const {
  double Out = 0;
  for (const QuotaRequestKind &Each : m_Kinds)
    Out = std::max(Out, Each.m_MaxPromptTokens + Each.m_MaxResponseTokens);
  return Out;
}

std::string toString(const QuotaFaultEvent &Event) {
  static const char *const Names[] = {"kill", "cut", "split", "freeze", "add"};
  std::ostringstream Out;
  Out << Names[static_cast<int>(Event.m_Kind)]
      << " at=" << core::toSeconds(Event.m_At) << " share=" << Event.m_Share
      << " for=" << core::toSeconds(Event.m_Duration);
  return Out.str();
}

static QuotaFaultEvent randomFaultEvent(std::mt19937_64 &Random) {
  auto Between = [&Random](milliseconds Min, milliseconds Max) {
    std::uniform_int_distribution<std::int64_t> Draw(Min.count(), Max.count());
    return milliseconds(Draw(Random));
  };
  auto Share = [&Random](double Min, double Max) {
    return std::uniform_real_distribution<double>(Min, Max)(Random);
  };
  QuotaFaultEvent Out;
  Out.m_At = Between(FirstFault, LastFault);
  Out.m_Kind = static_cast<QuotaFaultKind>(
      std::uniform_int_distribution<int>(0, 4)(Random));
  switch (Out.m_Kind) {
  case QuotaFaultKind::Kill:
    // Favors kills of all instances, the most frequent of the relevant faults.
    Out.m_Share = std::bernoulli_distribution(0.4)(Random) ? 1 : Share(0.1, 1);
    Out.m_Duration = Between(milliseconds(500), milliseconds(2500));
    break;
  case QuotaFaultKind::Cut:
    Out.m_Share = Share(0.05, 0.35);
    Out.m_Duration = Between(milliseconds(3000), milliseconds(9000));
    break;
  case QuotaFaultKind::Split:
    Out.m_Share = Share(0.05, 0.5);
    Out.m_Duration = Between(milliseconds(3000), milliseconds(9000));
    break;
  case QuotaFaultKind::Freeze:
    Out.m_Share = Share(0.05, 0.25);
    Out.m_Duration = Between(milliseconds(500), milliseconds(4000));
    break;
  case QuotaFaultKind::Add:
    Out.m_Share = Share(0.25, 0.5);
    break;
  }
  return Out;
}

QuotaScenario QuotaScenario::random(const QuotaDeployment &Deployment,
                                    std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  QuotaScenario Out;
  Out.m_Deployment = &Deployment;
  Out.m_Seed = Seed;
  std::uniform_real_distribution<double> Logarithm(
      std::log(Deployment.m_MinLimit * LoweredLimitShare),
      std::log(Deployment.m_MaxLimit));
  Out.m_Limit = std::exp(Logarithm(Random));
  Out.m_Load = std::uniform_real_distribution<double>(1.2, 6)(Random);
  std::uniform_int_distribution<std::size_t> Count(1, MaxEvents);
  for (std::size_t Remaining = Count(Random); Remaining > 0; --Remaining)
    Out.m_Events.push_back(randomFaultEvent(Random));
  return Out;
}

QuotaScenario QuotaScenario::mutated(std::mt19937_64 &Random) const {
  QuotaScenario Out = *this;
  switch (std::uniform_int_distribution<int>(0, 3)(Random)) {
  case 0:
    Out.m_Seed = Random();
    break;
  case 1:
    if (Out.m_Events.size() < MaxEvents)
      Out.m_Events.push_back(randomFaultEvent(Random));
    break;
  default:
    std::uniform_int_distribution<std::size_t> DrawEvent(
        0, Out.m_Events.size() - 1);
    Out.m_Events[DrawEvent(Random)] = randomFaultEvent(Random);
    break;
  }
  return Out;
}

std::string QuotaScenario::describe() const {
  std::ostringstream Out;
  Out << m_Deployment->m_Name << " limit=" << m_Limit << " load=" << m_Load
      << " seed=" << m_Seed << " largest=" << m_HasOnlyLargestRequests
      << " time_factor=" << m_TimeFactor;
  for (const QuotaFaultEvent &Each : m_Events)
    Out << "; " << toString(Each);
  return Out.str();
}

/// Returns the tokens by owner and by the size of its list.
static std::string describeOwners(const std::vector<TokenGrant> &Grants) {
  std::map<std::pair<std::size_t, std::size_t>, double> ByOwner;
  std::size_t MaxHolders = 0;
  for (const TokenGrant &Each : Grants) {
    if (!Each.m_IsIsolated)
      ByOwner[{Each.m_Owner, Each.m_ListSize}] += Each.m_Tokens;
    MaxHolders = std::max(MaxHolders, Each.m_HolderCount);
  }
  std::ostringstream Out;
  Out << "; by owner/list:";
  for (const auto &[Owner, Tokens] : ByOwner)
    Out << " " << Owner.first << "/" << Owner.second << "=" << Tokens;
  Out << " max_holders=" << MaxHolders;
  return Out.str();
}

std::string QuotaScenarioResult::describeFullestWindow() const {
  struct Sums {
    double m_Tokens = 0;
    double m_IsolatedTokens = 0;
  };
  std::map<std::size_t, Sums> ByInstance;
  for (const TokenGrant &Each : m_FullestWindow) {
    Sums &Out = ByInstance[Each.m_Instance];
    Out.m_Tokens += Each.m_Tokens;
    Out.m_IsolatedTokens += Each.m_IsIsolated ? Each.m_Tokens : 0;
  }
  std::ostringstream Out;
  Out << "allowed=" << m_AllowedTokens << " granted=" << m_MaxTokens
      << " bound=" << m_BoundTokens << " by instance (isolated):";
  for (const auto &[Instance, Each] : ByInstance)
    Out << " " << Instance << "=" << Each.m_Tokens << " ("
        << Each.m_IsolatedTokens << ")";
  Out << describeOwners(m_FullestWindow);
  return Out.str();
}

namespace {

class ScenarioRunner {
public:
  explicit ScenarioRunner(const QuotaScenario &Scenario)
      : m_Scenario(Scenario), m_Random(Scenario.m_Seed),
        m_Simulation({Scenario.m_Deployment->m_Size,
                      {account(Scenario.m_Limit)},
                      Scenario.m_Deployment->m_Tolerance,
                      Scenario.m_Seed,
                      Scenario.m_TimeFactor > 1}) {}

  QuotaScenarioResult simulate() {
    std::vector<QuotaFaultEvent> Remaining = m_Scenario.m_Events;
    core::TimePoint Begin = m_Simulation.now();
    while (m_Simulation.now() < Begin + Length * m_Scenario.m_TimeFactor) {
      m_Simulation.advance(QuotaSimulation::StepTime);
      for (auto Each = Remaining.begin(); Each != Remaining.end();) {
        if (Begin + Each->m_At * m_Scenario.m_TimeFactor > m_Simulation.now()) {
          ++Each;
          continue;
        }
        injectFault(*Each);
        Each = Remaining.erase(Each);
      }
      sendRequests();
    }
    return result();
  }

private:
  static routing::Account account(double Limit) {
    routing::Account Out;
    Out.m_Name = core::AccountName("account");
    Out.m_TokensPerSecond = Limit;
    Out.m_Burst = Limit;
    return Out;
  }

  static double meanTokens(const QuotaRequestKind &Kind) {
    return Kind.m_MeanPromptTokens + Kind.m_MeanResponseTokens;
  }

  double drawTokens(double Mean, double LogStdDev, double Max) {
    if (LogStdDev <= 0 || Mean <= 0)
      return Mean;
    std::lognormal_distribution<double> Tokens(
        std::log(Mean) - LogStdDev * LogStdDev / 2, LogStdDev);
    return std::min(Max, Tokens(m_Random));
  }

  void sendLargestRequests() {
    double Tokens = m_Scenario.m_Deployment->largestRequest();
    std::uniform_int_distribution<std::size_t> DrawInstance(
        0, m_Simulation.size() - 1);
    std::poisson_distribution<int> Count(
        m_Scenario.m_Limit * m_Scenario.m_Load / Tokens *
        core::toSeconds(QuotaSimulation::StepTime));
    for (int Remaining = Count(m_Random); Remaining > 0; --Remaining)
      m_Simulation.request(DrawInstance(m_Random), 0,
                           static_cast<std::uint32_t>(Tokens));
  }

  void sendRequests() {
    if (m_Scenario.m_HasOnlyLargestRequests)
      return sendLargestRequests();
    // Standard deviation of the logarithm, from the data sheets.
    static constexpr double ResponseLogStdDev = 1.5;
    double Mean = 0;
    for (const QuotaRequestKind &Each : m_Scenario.m_Deployment->m_Kinds)
      Mean += Each.m_Share * meanTokens(Each);
    double Rate = m_Scenario.m_Limit * m_Scenario.m_Load / Mean *
                  core::toSeconds(QuotaSimulation::StepTime);
    std::uniform_int_distribution<std::size_t> DrawInstance(
        0, m_Simulation.size() - 1);
    for (const QuotaRequestKind &Each : m_Scenario.m_Deployment->m_Kinds) {
      std::poisson_distribution<int> Count(Rate * Each.m_Share);
      for (int Remaining = Count(m_Random); Remaining > 0; --Remaining) {
        double Tokens = drawTokens(Each.m_MeanPromptTokens, Each.m_LogStdDev,
                                   Each.m_MaxPromptTokens) +
                        drawTokens(Each.m_MeanResponseTokens, ResponseLogStdDev,
                                   Each.m_MaxResponseTokens);
        m_Simulation.request(DrawInstance(m_Random), 0,
                             static_cast<std::uint32_t>(Tokens));
      }
    }
  }

  void injectFault(const QuotaFaultEvent &Event) {
    core::Duration Time = Event.m_Duration * m_Scenario.m_TimeFactor;
    if (Event.m_Kind == QuotaFaultKind::Add) {
      auto Count = static_cast<std::size_t>(
          Event.m_Share *
          static_cast<double>(m_Scenario.m_Deployment->m_SpareInstances));
      for (; Count > 0; --Count)
        m_Simulation.add();
      return;
    }
    std::bernoulli_distribution IsAffected(Event.m_Share);
    std::vector<std::size_t> Affected;
    for (std::size_t I = 0; I < m_Simulation.size(); ++I)
      if (IsAffected(m_Random))
        Affected.push_back(I);
    if (Event.m_Kind == QuotaFaultKind::Split)
      return m_Simulation.split(Affected, Time);
    for (std::size_t Each : Affected) {
      if (Event.m_Kind == QuotaFaultKind::Kill)
        m_Simulation.kill(Each, Time);
      if (Event.m_Kind == QuotaFaultKind::Cut)
        m_Simulation.cut(Each, Time);
      if (Event.m_Kind == QuotaFaultKind::Freeze)
        m_Simulation.freeze(Each, Time);
    }
  }

  QuotaScenarioResult result() const {
    const routing::QuotaTolerance &Tolerance =
        m_Scenario.m_Deployment->m_Tolerance;
    QuotaScenarioResult Out;
    Out.m_BoundTokens =
        m_Scenario.m_Limit * core::toSeconds(Tolerance.m_Window) +
        m_Scenario.m_Limit;
    Out.m_AllowedTokens =
        Out.m_BoundTokens +
        Tolerance.tokens({m_Scenario.m_Limit, m_Scenario.m_Limit});
    const std::vector<TokenGrant> &Grants = m_Simulation.grants(0);
    Out.m_FullestWindow = fullestWindow(Grants, Tolerance.m_Window);
    for (const TokenGrant &Each : Out.m_FullestWindow)
      Out.m_MaxTokens += Each.m_Tokens;
    auto Refused = static_cast<double>(m_Simulation.refused(0));
    Out.m_RefusedShare =
        Refused / std::max(1.0, Refused + static_cast<double>(Grants.size()));
    return Out;
  }

  const QuotaScenario &m_Scenario;
  std::mt19937_64 m_Random;
  QuotaSimulation m_Simulation;
};

} // namespace

QuotaScenarioResult simulate(const QuotaScenario &Scenario) {
  return ScenarioRunner(Scenario).simulate();
}

} // namespace yardrill::tests
