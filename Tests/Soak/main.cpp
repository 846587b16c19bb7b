//===-- main.cpp - Randomized soak test of the real programs --------------===//
//
// usage: soak --yardrill=PROGRAM --stand_in=PROGRAM --folder=DIRECTORY
//             [--seed=N] [--seconds=N] [--gateways=N] [--targets=N]
//             [--callers=N] [--bad_callers=N] [--norollouts] [--nofaults]
//             [--stops] [--skews] [--stalls] [--restarts] [--replace]
//
// Gateways and the store's stand-in run as processes; targets, callers and
// proxies run in this one. A seed determines the schedule of faults and the
// sequence of roll-outs. Exits with 0 if no invariant was violated; else prints
// the violations and exits with 1. The folder holds all logs.
//
//===----------------------------------------------------------------------===//
#include "Callers.h"
#include "Deployment.h"
#include "FaultPlan.h"
#include "InvariantChecker.h"
#include "Operator.h"
#include "Sleep.h"

#include "LibCore/Log.h"

#include <algorithm>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(yardrill, "", "path of the yardrill program");
DEFINE_string(stand_in, "", "path of the stand_in program");
DEFINE_string(folder, "", "existing folder for settings and logs");
DEFINE_uint64(seed, 1, "seed of the schedule of faults and of the roll-outs");
DEFINE_uint64(seconds, 20, "length of the schedule of faults");
DEFINE_uint64(gateways, 4, "number of gateway processes");
DEFINE_uint64(targets, 4, "number of targets in each of the two pools");
DEFINE_uint64(callers, 24, "number of callers");
DEFINE_uint64(bad_callers, 2,
              "number of callers whose requests make targets exit");
DEFINE_bool(rollouts, true, "order roll-outs of new versions");
DEFINE_bool(faults, true, "inject the scheduled faults");
DEFINE_bool(stops, false,
            "stop gateways in turn meanwhile, each with a series of SIGTERM");
DEFINE_bool(skews, false,
            "skew connections, also without the other scheduled faults");
DEFINE_bool(stalls, false, "let gateways stand still or starve now and then");
DEFINE_bool(restarts, false,
            "let targets end and start again at their address");
DEFINE_bool(replace, false,
            "replace all gateways one by one meanwhile, at new addresses");

namespace asio = boost::asio;
using namespace yardrill::soak;

namespace {

/// Time for gateways to start, and then for callers, before the first fault.
constexpr std::chrono::milliseconds StartTime{1500};
/// Time without faults at the end. Exceeds bounds::SettleTime, after which
/// requests must be served again.
constexpr std::chrono::milliseconds RecoveryTime{6000};
constexpr std::chrono::milliseconds SupervisePeriod{20};
/// Exceeds the timeout of every caller.
constexpr std::chrono::milliseconds LastResponseTime{4000};

/// Time from the last replacement until accounts below their limits must be
/// served again.
constexpr std::chrono::seconds ReplacementTime{30};

/// Time within which a stopping gateway gets further signals.
constexpr std::chrono::milliseconds MaxSignalSeries{3000};
constexpr std::chrono::milliseconds MinStopGap{500};

class Soak {
public:
  Soak()
      : m_Random(FLAGS_seed), m_Checker(FLAGS_gateways),
        m_System(m_Context, m_Checker,
                 {FLAGS_gateways, FLAGS_targets, FLAGS_yardrill, FLAGS_stand_in,
                  FLAGS_folder},
                 m_Random),
        m_Callers(m_Context, m_Checker, m_System, m_Random),
        m_Operator(m_Context, m_Checker, m_System, FLAGS_seed) {}

  int run() {
    m_Checker.setQuota("limited", {2000, 2000});
    asio::spawn(
        m_Context, [this](asio::yield_context Yield) { runSchedule(Yield); },
        asio::detached);
    m_Context.run();
    for (const std::string &Each : m_Checker.violations())
      std::cout << "violation " << Each << "\n";
    std::cout << "soak seed=" << FLAGS_seed << " " << m_Checker.summary()
              << " completed=" << m_Operator.completed()
              << " rolled_back=" << m_Operator.rolledBack() << "\n";
    return m_Checker.violations().empty() ? 0 : 1;
  }

private:
  void runSchedule(asio::yield_context Yield) {
    m_System.start(Yield);
    asio::spawn(
        m_Context, [this](asio::yield_context Inner) { supervise(Inner); },
        asio::detached);
    yardrill::tests::sleepFor(m_Context, StartTime, Yield);
    if (FLAGS_replace)
      m_Callers.setAccount(ModestAccount);
    m_Callers.start(FLAGS_callers);
    yardrill::tests::sleepFor(m_Context, StartTime, Yield);
    if (FLAGS_rollouts)
      asio::spawn(
          m_Context,
          [this](asio::yield_context Inner) { m_Operator.run(Inner); },
          asio::detached);
    m_Callers.startBadRequestCallers(FLAGS_bad_callers);
    TimePoint Start = Clock::now();
    if (FLAGS_replace)
      asio::spawn(
          m_Context,
          [this](asio::yield_context Inner) { replaceGateways(Inner); },
          asio::detached);
    if (FLAGS_stops)
      asio::spawn(
          m_Context, [this](asio::yield_context Inner) { stopGateways(Inner); },
          asio::detached);
    for (const Fault &Next : plan()) {
      yardrill::tests::sleepFor(
          m_Context,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Start + Next.m_At - Clock::now()),
          Yield);
      begin(Next);
    }
    yardrill::tests::sleepFor(
        m_Context,
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Start + std::chrono::seconds(FLAGS_seconds) - Clock::now()),
        Yield);
    m_Callers.stopBadRequestCallers();
    m_Operator.stop();
    while (m_ActiveFaults > 0 || !m_Operator.isIdle())
      yardrill::tests::sleepFor(m_Context, SupervisePeriod, Yield);
    if (FLAGS_replace)
      yardrill::tests::sleepFor(m_Context, ReplacementTime, Yield);
    TimePoint RecoveredAt = Clock::now();
    yardrill::tests::sleepFor(m_Context, RecoveryTime, Yield);
    m_Callers.stop();
    yardrill::tests::sleepFor(m_Context, LastResponseTime, Yield);
    m_Checker.finish(RecoveredAt);
    m_Context.stop();
  }

  /// Replaces all gateways within the time of the faults, with random gaps.
  void replaceGateways(asio::yield_context Yield) {
    ++m_ActiveFaults;
    std::uint64_t Gap = FLAGS_seconds * 1000 / FLAGS_gateways;
    for (std::size_t I = 0; I < FLAGS_gateways; ++I) {
      std::cout << "replace which=" << I << std::endl;
      m_System.replaceGateway(I);
      yardrill::tests::sleepFor(
          m_Context, std::chrono::milliseconds((FLAGS_seed >> I) % Gap), Yield);
    }
    --m_ActiveFaults;
  }

  /// Stops gateways in turn, some while others still stop.
  void stopGateways(asio::yield_context Yield) {
    std::mt19937_64 Random(FLAGS_seed);
    TimePoint End = Clock::now() + std::chrono::seconds(FLAGS_seconds);
    for (std::size_t I = 0; Clock::now() < End; ++I) {
      Fault Stop;
      Stop.m_Kind = FaultKind::StopGateway;
      Stop.m_Selector = I % FLAGS_gateways;
      Stop.m_Length =
          std::chrono::milliseconds(Random() % MaxSignalSeries.count());
      begin(Stop);
      yardrill::tests::sleepFor(
          m_Context,
          MinStopGap +
              std::chrono::milliseconds(Random() % MaxSignalSeries.count()),
          Yield);
    }
  }

  static std::vector<Fault> plan() {
    std::chrono::seconds Length(FLAGS_seconds);
    std::vector<Fault> Out;
    auto Add = [&Out](const std::vector<Fault> &Drawn) {
      Out.insert(Out.end(), Drawn.begin(), Drawn.end());
    };
    if (FLAGS_faults) {
      Add(drawFaults(FLAGS_seed, Length));
      Add(drawBackpressureFaults(FLAGS_seed, Length));
    }
    if (FLAGS_faults || FLAGS_stops)
      Add(drawCallerLinkFaults(FLAGS_seed, Length));
    if (FLAGS_faults || FLAGS_skews)
      Add(drawSkews(FLAGS_seed, Length));
    if (FLAGS_stalls)
      Add(drawStalls(FLAGS_seed, Length));
    if (FLAGS_restarts)
      Add(drawRestarts(FLAGS_seed, Length));
    std::stable_sort(
        Out.begin(), Out.end(),
        [](const Fault &A, const Fault &B) { return A.m_At < B.m_At; });
    return Out;
  }

  void begin(const Fault &Scheduled) {
    std::cout << "fault at_ms=" << Scheduled.m_At.count()
              << " length_ms=" << Scheduled.m_Length.count()
              << " kind=" << toString(Scheduled.m_Kind)
              << " which=" << Scheduled.m_Selector % FLAGS_gateways << "/"
              << Scheduled.m_Selector % m_System.targets() << std::endl;
    ++m_ActiveFaults;
    asio::spawn(
        m_Context,
        [this, Scheduled](asio::yield_context Yield) {
          runFault(Scheduled, m_System, m_Callers, m_Checker, m_Context, Yield);
          --m_ActiveFaults;
        },
        asio::detached);
  }

  void supervise(asio::yield_context Yield) {
    while (true) {
      m_System.supervise();
      yardrill::tests::sleepFor(m_Context, SupervisePeriod, Yield);
    }
  }

  asio::io_context m_Context{1};
  std::mt19937_64 m_Random;
  InvariantChecker m_Checker;
  Deployment m_System;
  Callers m_Callers;
  Operator m_Operator;
  int m_ActiveFaults = 0; ///< Number of faults in progress.
};

} // namespace

int main(int Count, char **Arguments) {
  yardrill::core::startLogging(Arguments[0]);
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  return Soak().run();
}
