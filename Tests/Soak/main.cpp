//===-- main.cpp - A randomized soak of the real programs -----------------===//
//
// usage: soak --yardrill=PROGRAM --stand_in=PROGRAM --folder=DIRECTORY
//             [--seed=N] [--seconds=N] [--gateways=N] [--callers=N]
//             [--norollouts] [--nofaults]
//
// Gateways and the store's stand-in are processes; targets, callers and proxies
// live here. The seed repeats the schedule of faults. Exit code 0: nothing was
// broken; 1: the violations are printed, and the folder holds every log.
//
//===----------------------------------------------------------------------===//
#include "Callers.h"
#include "Deployment.h"
#include "FaultPlan.h"
#include "Ledger.h"
#include "Operator.h"
#include "Sleep.h"

#include "LibCore/Log.h"

#include <algorithm>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(yardrill, "", "the yardrill program");
DEFINE_string(stand_in, "", "the program of the stand-ins");
DEFINE_string(folder, "", "for settings and logs; must exist");
DEFINE_uint64(seed, 1, "of the schedule of faults");
DEFINE_uint64(seconds, 20, "how long faults happen");
DEFINE_uint64(gateways, 4, "gateway processes");
DEFINE_uint64(targets, 4, "targets of each of the two pools");
DEFINE_uint64(callers, 24, "callers");
DEFINE_uint64(bad_callers, 2, "callers whose requests end their targets");
DEFINE_bool(rollouts, true, "whether new versions are rolled out");
DEFINE_bool(faults, true, "whether there are other faults");

namespace asio = boost::asio;
using namespace yardrill::soak;

namespace {

/// Before the first fault and after the last one.
constexpr std::chrono::milliseconds StartTime{1500};
constexpr std::chrono::milliseconds CalmTime{6000};
constexpr std::chrono::milliseconds SupervisePeriod{20};
/// Longer than any request is waited for.
constexpr std::chrono::milliseconds LastAnswers{4000};

class Soak {
public:
  Soak()
      : m_Random(FLAGS_seed), m_Book(FLAGS_gateways),
        m_Under(m_Context, m_Book,
                {FLAGS_gateways, FLAGS_targets, FLAGS_yardrill, FLAGS_stand_in,
                 FLAGS_folder},
                m_Random),
        m_Callers(m_Context, m_Book, m_Under, m_Random),
        m_Operator(m_Context, m_Book, m_Under, FLAGS_seed) {}

  int run() {
    m_Book.setQuota("limited", {2000, 2000});
    asio::spawn(
        m_Context, [this](asio::yield_context Yield) { direct(Yield); },
        asio::detached);
    m_Context.run();
    for (const std::string &Each : m_Book.violations())
      std::cout << "violation " << Each << "\n";
    std::cout << "soak seed=" << FLAGS_seed << " " << m_Book.summary()
              << " completed=" << m_Operator.completed()
              << " rolled_back=" << m_Operator.rolledBack() << "\n";
    return m_Book.violations().empty() ? 0 : 1;
  }

private:
  void direct(asio::yield_context Yield) {
    m_Under.start(Yield);
    asio::spawn(
        m_Context, [this](asio::yield_context Inner) { supervise(Inner); },
        asio::detached);
    yardrill::tests::sleepFor(m_Context, StartTime, Yield);
    m_Callers.start(FLAGS_callers);
    yardrill::tests::sleepFor(m_Context, StartTime, Yield);
    if (FLAGS_rollouts)
      asio::spawn(
          m_Context,
          [this](asio::yield_context Inner) { m_Operator.run(Inner); },
          asio::detached);
    m_Callers.startBadCallers(FLAGS_bad_callers);
    TimePoint Start = Clock::now();
    if (!FLAGS_faults)
      yardrill::tests::sleepFor(m_Context, std::chrono::seconds(FLAGS_seconds),
                                Yield);
    for (const Fault &What : plan()) {
      yardrill::tests::sleepFor(
          m_Context,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Start + What.m_At - Clock::now()),
          Yield);
      begin(What);
    }
    m_Callers.stopBadCallers();
    m_Operator.stop();
    while (m_Open > 0 || !m_Operator.isIdle())
      yardrill::tests::sleepFor(m_Context, SupervisePeriod, Yield);
    TimePoint CalmSince = Clock::now();
    yardrill::tests::sleepFor(m_Context, CalmTime, Yield);
    m_Callers.stop();
    yardrill::tests::sleepFor(m_Context, LastAnswers, Yield);
    m_Book.finish(CalmSince);
    m_Context.stop();
  }

  static std::vector<Fault> plan() {
    if (!FLAGS_faults)
      return {};
    std::chrono::seconds Length(FLAGS_seconds);
    std::vector<Fault> Out = drawFaults(FLAGS_seed, Length);
    std::vector<Fault> Terms = drawTerms(FLAGS_seed, Length);
    Out.insert(Out.end(), Terms.begin(), Terms.end());
    std::stable_sort(
        Out.begin(), Out.end(),
        [](const Fault &A, const Fault &B) { return A.m_At < B.m_At; });
    return Out;
  }

  void begin(const Fault &What) {
    std::cout << "fault at_ms=" << What.m_At.count()
              << " length_ms=" << What.m_Length.count()
              << " kind=" << toString(What.m_Kind)
              << " which=" << What.m_Which % FLAGS_gateways << "/"
              << What.m_Which % m_Under.targets() << std::endl;
    ++m_Open;
    asio::spawn(
        m_Context,
        [this, What](asio::yield_context Yield) {
          runFault(What, m_Under, m_Book, m_Context, Yield);
          --m_Open;
        },
        asio::detached);
  }

  void supervise(asio::yield_context Yield) {
    while (true) {
      m_Under.supervise();
      yardrill::tests::sleepFor(m_Context, SupervisePeriod, Yield);
    }
  }

  asio::io_context m_Context{1};
  std::mt19937_64 m_Random;
  Ledger m_Book;
  Deployment m_Under;
  Callers m_Callers;
  Operator m_Operator;
  int m_Open = 0; ///< Faults under way.
};

} // namespace

int main(int Count, char **Arguments) {
  yardrill::core::startLogging(Arguments[0]);
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  return Soak().run();
}
