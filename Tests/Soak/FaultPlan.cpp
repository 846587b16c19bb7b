#include "FaultPlan.h"

#include "Sleep.h"

#include <csignal>
#include <functional>
#include <random>

namespace yardrill::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

static constexpr std::uint64_t MinGapMs = 150;
static constexpr std::uint64_t GapSpreadMs = 900;
static constexpr std::uint64_t MinLengthMs = 300;
static constexpr std::uint64_t LengthSpreadMs = 3000;
static constexpr double ResponseFaultShare = 0.4;
static constexpr double HangShare = 0.1;
static constexpr int RepeatedStops = 2;
static constexpr milliseconds StoreDelay{400};
static constexpr milliseconds IdleTime{100};
static constexpr double BackoffShare = 0.5;
static constexpr std::uint64_t BackpressureGapMs = 1500;
/// Exceeds bounds::SettleTime, after which rate limits are checked.
static constexpr std::uint64_t MinBackpressureMs = 4000;
static constexpr std::uint64_t BackpressureSpreadMs = 8000;
/// Makes the skews independent of the other faults of a seed.
static constexpr std::uint64_t SkewSeed = 0x5ce3;
static constexpr std::uint64_t SkewGapMs = 6000;
/// The same for the faults of the callers' links.
static constexpr std::uint64_t CallerLinkSeed = 0xca11;
static constexpr std::uint64_t CallerLinkGapMs = 1200;
/// The same for stalls of gateways.
static constexpr std::uint64_t StallSeed = 0x57a1;
static constexpr std::uint64_t StallGapMs = 700;
/// The same for restarts of targets.
static constexpr std::uint64_t RestartSeed = 0x4e57;
static constexpr std::uint64_t RestartGapMs = 500;
static constexpr milliseconds MaxRestartTime{400};
/// Alternating times of a starved process, as under a processor quota.
static constexpr milliseconds StarvedTime{75};
static constexpr milliseconds RunningTime{25};
/// Exceeds bounds::SkewAdaptationTime, after which requests are judged.
static constexpr std::uint64_t MinSkewMs = 6000;
static constexpr std::uint64_t SkewSpreadMs = 6000;
/// Rate limits are multiples of 0.1 requests per second below this.
static constexpr std::uint64_t MaxLimitTenths = 60;

const char *toString(FaultKind Kind) {
  static const char *Names[] = {
      "kill-gateway",        "kill-all-gateways",   "stop-gateway",
      "freeze-gateway",      "reload-gateway",      "store-link-delayed",
      "store-link-reset",    "store-link-silent",   "store-link-one-way",
      "store-frozen",        "store-down",          "store-slow",
      "store-refuses",       "store-forgets",       "store-loses-answers",
      "target-link-delayed", "target-link-reset",   "target-link-silent",
      "target-link-one-way", "target-idle-reset",   "target-crashes",
      "target-leaves",       "target-fails",        "target-refuses",
      "target-breaks-off",   "target-is-mute",      "publish",
      "target-limits",       "target-tires",        "target-says-it-leaves",
      "connection-skew",     "caller-link-delayed", "caller-link-reset",
      "caller-link-silent",  "starve-gateway"};
  static_assert(std::size(Names) == FaultKindCount);
  return Names[static_cast<int>(Kind)];
}

std::vector<Fault> drawFaults(std::uint64_t Seed, milliseconds Length) {
  std::mt19937_64 Random(Seed);
  auto Draw = [&Random](std::uint64_t Min, std::uint64_t Spread) {
    return milliseconds(Min + Random() % Spread);
  };
  std::vector<Fault> Out;
  milliseconds At = Draw(MinGapMs, GapSpreadMs);
  while (At < Length) {
    Fault Next;
    Next.m_At = At;
    Next.m_Length = std::min(Draw(MinLengthMs, LengthSpreadMs), Length - At);
    Next.m_Kind = static_cast<FaultKind>(Random() % RandomFaultKindCount);
    Next.m_Selector = Random();
    Out.push_back(Next);
    At += Draw(MinGapMs, GapSpreadMs);
  }
  return Out;
}

std::vector<Fault> drawBackpressureFaults(std::uint64_t Seed,
                                          milliseconds Length) {
  std::mt19937_64 Random(~Seed);
  std::vector<Fault> Out;
  for (milliseconds At(Random() % BackpressureGapMs); At < Length;
       At +=
       milliseconds(BackpressureGapMs / 2 + Random() % BackpressureGapMs)) {
    Fault Next;
    Next.m_At = At;
    Next.m_Length = std::min(
        milliseconds(MinBackpressureMs + Random() % BackpressureSpreadMs),
        Length - At);
    Next.m_Kind = static_cast<FaultKind>(
        RandomFaultKindCount +
        Random() % (BackpressureKindsEnd - RandomFaultKindCount));
    Next.m_Selector = Random();
    Out.push_back(Next);
  }
  return Out;
}

std::vector<Fault> drawSkews(std::uint64_t Seed, milliseconds Length) {
  std::mt19937_64 Random(Seed ^ SkewSeed);
  std::vector<Fault> Out;
  for (milliseconds At(Random() % SkewGapMs); At < Length;) {
    Fault Next;
    Next.m_At = At;
    Next.m_Length = std::min(milliseconds(MinSkewMs + Random() % SkewSpreadMs),
                             Length - At);
    Next.m_Kind = FaultKind::ConnectionSkew;
    Next.m_Selector = Random();
    Out.push_back(Next);
    At += Next.m_Length + milliseconds(Random() % SkewGapMs);
  }
  return Out;
}

/// Draws overlapping faults of \p Kinds with random gaps below \p GapMs.
template <std::size_t Count>
static std::vector<Fault> drawKinds(std::uint64_t Seed, milliseconds Length,
                                    std::uint64_t GapMs,
                                    const FaultKind (&Kinds)[Count]) {
  std::mt19937_64 Random(Seed);
  std::vector<Fault> Out;
  for (milliseconds At(Random() % GapMs); At < Length;
       At += milliseconds(MinGapMs + Random() % GapMs)) {
    Fault Next;
    Next.m_At = At;
    Next.m_Length = std::min(
        milliseconds(MinLengthMs + Random() % LengthSpreadMs), Length - At);
    Next.m_Kind = Kinds[Random() % Count];
    Next.m_Selector = Random();
    Out.push_back(Next);
  }
  return Out;
}

std::vector<Fault> drawCallerLinkFaults(std::uint64_t Seed,
                                        milliseconds Length) {
  static constexpr FaultKind Kinds[] = {
      FaultKind::CallerLinkDelayed, FaultKind::CallerLinkReset,
      FaultKind::CallerLinkReset, FaultKind::CallerLinkSilent};
  return drawKinds(Seed ^ CallerLinkSeed, Length, CallerLinkGapMs, Kinds);
}

std::vector<Fault> drawStalls(std::uint64_t Seed, milliseconds Length) {
  static constexpr FaultKind Kinds[] = {FaultKind::StarveGateway,
                                        FaultKind::FreezeGateway,
                                        FaultKind::FreezeGateway};
  return drawKinds(Seed ^ StallSeed, Length, StallGapMs, Kinds);
}

std::vector<Fault> drawRestarts(std::uint64_t Seed, milliseconds Length) {
  static constexpr FaultKind Kinds[] = {FaultKind::TargetCrashes};
  std::vector<Fault> Out =
      drawKinds(Seed ^ RestartSeed, Length, RestartGapMs, Kinds);
  for (Fault &Each : Out)
    Each.m_Length = std::min(Each.m_Length, MaxRestartTime);
  return Out;
}

namespace {

/// Injects one fault.
class FaultInjection {
public:
  FaultInjection(const Fault &Scheduled, Deployment &System, Callers &Sources,
                 InvariantChecker &Checker, asio::io_context &Context,
                 asio::yield_context Yield)
      : m_Fault(Scheduled), m_System(System), m_Sources(Sources),
        m_Checker(Checker), m_Context(Context), m_Yield(std::move(Yield)),
        m_GatewayIndex(Scheduled.m_Selector % System.gateways()),
        m_TargetIndex(Scheduled.m_Selector % System.targets()) {}

  void run();

private:
  void sleepForFault() {
    tests::sleepFor(m_Context, m_Fault.m_Length, m_Yield);
  }
  /// Sends SIGTERM in series.
  void stopGateway() {
    m_System.stopGateway(m_GatewayIndex);
    for (int I = 0; I < RepeatedStops; ++I) {
      tests::sleepFor(m_Context, m_Fault.m_Length / RepeatedStops, m_Yield);
      m_System.repeatStop(m_GatewayIndex);
    }
  }
  void freezeGateway() {
    m_Checker.noteProcessDisturbance(m_GatewayIndex, true);
    m_System.signalGateway(m_GatewayIndex, SIGSTOP);
    sleepForFault();
    m_System.signalGateway(m_GatewayIndex, SIGCONT);
    m_Checker.noteProcessDisturbance(m_GatewayIndex, false);
  }
  void starveGateway() {
    m_Checker.noteProcessDisturbance(m_GatewayIndex, true);
    for (auto End = Clock::now() + m_Fault.m_Length; Clock::now() < End;) {
      m_System.signalGateway(m_GatewayIndex, SIGSTOP);
      tests::sleepFor(m_Context, StarvedTime, m_Yield);
      m_System.signalGateway(m_GatewayIndex, SIGCONT);
      tests::sleepFor(m_Context, RunningTime, m_Yield);
    }
    m_Checker.noteProcessDisturbance(m_GatewayIndex, false);
  }
  void disturbStoreLink(tests::ProxyMode Mode, bool MustReset) {
    m_Checker.noteStorePathDisturbance(m_GatewayIndex, true);
    tests::LoopbackProxy &Link = m_System.storeProxy(m_GatewayIndex);
    Link.setMode(Mode);
    if (MustReset)
      Link.resetAll();
    sleepForFault();
    Link.setMode(tests::ProxyMode::PassThrough);
    m_Checker.noteStorePathDisturbance(m_GatewayIndex, false);
  }
  void disturbStore(const boost::json::object &Begin,
                    const boost::json::object &End) {
    m_Checker.noteStoreDisturbance(true);
    m_System.controlStore(Begin, m_Yield);
    sleepForFault();
    m_System.controlStore(End, m_Yield);
    m_Checker.noteStoreDisturbance(false);
  }
  void freezeStore() {
    m_Checker.noteStoreDisturbance(true);
    m_System.freezeStore(true);
    sleepForFault();
    m_System.freezeStore(false);
    m_Checker.noteStoreDisturbance(false);
  }
  void disturbTargetLink(tests::ProxyMode Mode, bool MustReset) {
    SoakTarget &Target = m_System.target(m_TargetIndex);
    Target.setDisturbed(true);
    Target.proxy().setMode(Mode);
    if (MustReset)
      Target.proxy().resetAll();
    sleepForFault();
    Target.proxy().setMode(tests::ProxyMode::PassThrough);
    Target.setDisturbed(false);
  }
  void dropIdleConnections() {
    // Any next request may use one of these connections and be reset.
    SoakTarget &Target = m_System.target(m_TargetIndex);
    Target.setDisturbed(true);
    Target.proxy().resetIdle(IdleTime);
    sleepForFault();
    Target.setDisturbed(false);
  }
  void injectResponseFaults(const ResponseFaults &Faults) {
    m_System.target(m_TargetIndex).setResponseFaults(Faults);
    sleepForFault();
    m_System.target(m_TargetIndex).setResponseFaults({});
  }

  void skewConnections() {
    m_Checker.noteSkew(m_GatewayIndex);
    m_Sources.setSkew(m_GatewayIndex);
    sleepForFault();
    m_Sources.setSkew(std::nullopt);
    m_Checker.noteSkew(std::nullopt);
  }

  void delayCallers() {
    m_System.callerProxy(m_GatewayIndex).setMode(tests::ProxyMode::Delayed);
    sleepForFault();
    m_System.callerProxy(m_GatewayIndex).setMode(tests::ProxyMode::PassThrough);
  }
  void resetCallers() {
    m_Checker.noteCallerLinkReset(m_GatewayIndex);
    m_System.callerProxy(m_GatewayIndex).resetAll();
  }
  void silenceCallers() {
    m_Checker.noteCallerLinkDisturbance(m_GatewayIndex, true);
    m_System.callerProxy(m_GatewayIndex).setMode(tests::ProxyMode::CutBoth);
    sleepForFault();
    m_System.callerProxy(m_GatewayIndex).setMode(tests::ProxyMode::PassThrough);
    m_Checker.noteCallerLinkDisturbance(m_GatewayIndex, false);
  }

  void limitRate() {
    SoakTarget &Target = m_System.target(m_TargetIndex);
    Target.setLimit(static_cast<double>(m_Fault.m_Selector % MaxLimitTenths) /
                    10);
    sleepForFault();
    Target.setLimit(std::nullopt);
  }

  const Fault &m_Fault;
  Deployment &m_System;
  Callers &m_Sources;
  InvariantChecker &m_Checker;
  asio::io_context &m_Context;
  asio::yield_context m_Yield;
  std::size_t m_GatewayIndex;
  std::size_t m_TargetIndex;
};

} // namespace

void FaultInjection::run() {
  switch (m_Fault.m_Kind) {
  case FaultKind::KillGateway:
    return m_System.killGateway(m_GatewayIndex);
  case FaultKind::KillAllGateways:
    for (std::size_t I = 0; I < m_System.gateways(); ++I)
      m_System.killGateway(I);
    return;
  case FaultKind::StopGateway:
    return stopGateway();
  case FaultKind::FreezeGateway:
    return freezeGateway();
  case FaultKind::ReloadGateway:
    return m_System.signalGateway(m_GatewayIndex, SIGHUP);
  case FaultKind::StoreLinkDelayed:
    return disturbStoreLink(tests::ProxyMode::Delayed, false);
  case FaultKind::StoreLinkReset:
    return disturbStoreLink(tests::ProxyMode::Reset, true);
  case FaultKind::StoreLinkSilent:
    return disturbStoreLink(tests::ProxyMode::CutBoth, false);
  case FaultKind::StoreLinkOneWay:
    return disturbStoreLink(tests::ProxyMode::CutBackward, false);
  case FaultKind::StoreFrozen:
    return freezeStore();
  case FaultKind::StoreDown:
    return disturbStore({{"down", true}}, {{"down", false}});
  case FaultKind::StoreSlow:
    return disturbStore({{"slow_ms", StoreDelay.count()}}, {{"slow_ms", 0}});
  case FaultKind::StoreRefuses:
    return disturbStore({{"calls_per_second", 1}}, {{"calls_per_second", 0}});
  case FaultKind::StoreForgets:
    return disturbStore({{"forget_history", true}}, {});
  case FaultKind::StoreLosesAnswers:
    return disturbStore({{"lose_answers", 3}}, {{"lose_answers", 0}});
  case FaultKind::TargetLinkDelayed:
    return disturbTargetLink(tests::ProxyMode::Delayed, false);
  case FaultKind::TargetLinkReset:
    return disturbTargetLink(tests::ProxyMode::PassThrough, true);
  case FaultKind::TargetLinkSilent:
    return disturbTargetLink(tests::ProxyMode::CutBoth, false);
  case FaultKind::TargetLinkOneWay:
    return disturbTargetLink(tests::ProxyMode::CutBackward, false);
  case FaultKind::TargetIdleReset:
    return dropIdleConnections();
  case FaultKind::TargetCrashes:
    return m_System.crashTarget(m_TargetIndex, m_Fault.m_Length, m_Yield);
  case FaultKind::TargetLeaves:
    return m_System.replaceTarget(m_TargetIndex, m_Yield);
  case FaultKind::TargetFails:
    return injectResponseFaults({ResponseFaultShare, 0, 0, 0});
  case FaultKind::TargetRefuses:
    return injectResponseFaults({0, ResponseFaultShare, 0, 0});
  case FaultKind::TargetBreaksOff:
    return injectResponseFaults({0, 0, ResponseFaultShare, 0});
  case FaultKind::TargetIsMute:
    return injectResponseFaults({0, 0, 0, HangShare});
  case FaultKind::Publish:
    return m_System.publish(m_Yield);
  case FaultKind::TargetLimits:
    return limitRate();
  case FaultKind::TargetTires:
    return injectResponseFaults({0, 0, 0, 0, BackoffShare});
  case FaultKind::TargetSaysItLeaves:
    m_System.target(m_TargetIndex).setLeavingInResponses();
    sleepForFault();
    return m_System.crashTarget(m_TargetIndex, m_Fault.m_Length / 8, m_Yield);
  case FaultKind::ConnectionSkew:
    return skewConnections();
  case FaultKind::CallerLinkDelayed:
    return delayCallers();
  case FaultKind::CallerLinkReset:
    return resetCallers();
  case FaultKind::CallerLinkSilent:
    return silenceCallers();
  case FaultKind::StarveGateway:
    return starveGateway();
  }
}

void runFault(const Fault &Scheduled, Deployment &System, Callers &Sources,
              InvariantChecker &Checker, asio::io_context &Context,
              asio::yield_context Yield) {
  FaultInjection(Scheduled, System, Sources, Checker, Context, Yield).run();
}

} // namespace yardrill::soak
