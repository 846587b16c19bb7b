//===-- OverloadModelProgram.cpp - Outcomes of requests under overload ----===//
//
// Usage: overload_model [--instances N] [--load FACTOR] [--on PART,...] ...
//
// Runs the long shortage of Tests/Support/OverloadScenarios.h and prints, by
// kind of request and by client account, the shares that were in time, late and
// refused. Each part of the decisions under overload is off unless named.
//
//===----------------------------------------------------------------------===//
#include "OverloadScenarios.h"

#include <gflags/gflags.h>

#include <iomanip>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <string>

DEFINE_uint64(instances, 131, "Instances of the fleet");
DEFINE_double(load, 1, "Factor of all rates");
DEFINE_double(seconds, 20, "Time in which requests arrive");
DEFINE_uint64(seed, 1, "First seed");
DEFINE_uint64(runs, 1, "Number of seeds");
DEFINE_string(on, "",
              "Parts that are on, with commas: concurrency, handover, "
              "prediction, return, fairness, lending; or all");
DEFINE_uint64(accounts, 0, "Client accounts of each kind");
DEFINE_double(flood, 1, "Factor of the first account, from second 8 to 13");
DEFINE_uint64(clump, 1, "Requests that arrive at once at an instance");
DEFINE_double(uneven, 0, "Spread of the instances' shares of the requests");
DEFINE_bool(first_arrival, false, "Whether returns state their first arrival");
DEFINE_double(loss, 0, "Share of the messages that is lost");
DEFINE_double(silent, 0, "Share of instances silent from second 8 to 13");
DEFINE_double(leaving, 0, "Share of targets gone from second 8 to 13");
DEFINE_double(restart, 0, "Share of instances restarted at second 10");
DEFINE_string(skew, "",
              "Callers whose new connections go to one instance: hall or all; "
              "replaces the shortage");
DEFINE_bool(hot_large, false, "Whether that instance is a large one");

using namespace yardrill;
using namespace yardrill::tests;

static constexpr std::chrono::seconds FaultFrom{8};
static constexpr std::chrono::seconds FaultUntil{13};
static constexpr std::chrono::seconds RestartAt{10};

/// Switches the named parts on. \returns false for an unknown name.
static bool switchOn(const std::string &Parts,
                     routing::OverloadSettings &Settings) {
  std::istringstream Names(Parts);
  for (std::string Name; std::getline(Names, Name, ',');) {
    if (Name == "all")
      Settings = routing::OverloadSettings();
    else if (Name == "concurrency")
      Settings.m_TierConcurrency = true;
    else if (Name == "handover")
      Settings.m_SlotHandover = true;
    else if (Name == "prediction")
      Settings.m_WaitPrediction = true;
    else if (Name == "return")
      Settings.m_ReturnSchedule = true;
    else if (Name == "fairness")
      Settings.m_AccountFairness = true;
    else if (Name == "lending")
      Settings.m_SlotLending = true;
    else
      return false;
  }
  return true;
}

static DispatchScenario createScenario(std::uint64_t Seed) {
  if (!FLAGS_skew.empty()) {
    DispatchScenario Out = skewedConnections(
        FLAGS_instances,
        FLAGS_skew == "hall" ? SkewScope::DataHall : SkewScope::All,
        FLAGS_hot_large ? InstanceSize::Large : InstanceSize::Small);
    Out.m_Seed = Seed;
    return Out;
  }
  DispatchScenario Out = longShortage(FLAGS_instances, FLAGS_load);
  Out.m_Seed = Seed;
  Out.m_Length = core::fromSeconds(FLAGS_seconds);
  for (RequestKind &Each : Out.m_Kinds)
    Each.m_ClumpSize = FLAGS_clump;
  if (FLAGS_accounts > 0) {
    addAccounts(Out, FLAGS_accounts);
    addFlood(Out, FLAGS_flood, FaultFrom, FaultUntil);
  }
  Out.m_Callers.m_InstanceSpread = FLAGS_uneven;
  Out.m_Callers.m_IsFirstArrivalStated = FLAGS_first_arrival;
  Out.m_Network.m_LossShare = FLAGS_loss;
  if (FLAGS_silent > 0)
    Out.m_SilentInstances = {{FLAGS_silent, FaultFrom, FaultUntil}};
  if (FLAGS_leaving > 0)
    Out.m_LeavingTargets = {{FLAGS_leaving, FaultFrom, FaultUntil}};
  if (FLAGS_restart > 0) {
    Out.m_RestartAt = RestartAt;
    Out.m_RestartShare = FLAGS_restart;
  }
  return Out;
}

/// Returns the gateway's Retry-After with a ReturnSchedule.
static RetryAfterHook returnSchedule(std::uint64_t Seed) {
  auto Random = std::make_shared<std::mt19937_64>(Seed);
  return
      [Random](routing::Dispatcher &Dispatcher,
               const routing::PlacementRequest &Refused, core::TimePoint Now) {
        double Point = std::uniform_real_distribution<double>(0, 1)(*Random);
        return Dispatcher.returnDelay(Refused, Point, Now);
      };
}

static void printHeader() {
  std::cout << std::left << std::setw(12) << "kind" << std::right;
  for (const char *Each :
       {"sent", "in_time", "late", "refused", "expired", "lost", "twice",
        "returned", "ret_served", "refusal_p50", "refusal_p90"})
    std::cout << std::setw(12) << Each;
  std::cout << "\n";
}

static void print(const std::string &Name, const CallerOutcomes &Each) {
  std::cout << std::left << std::setw(12) << Name << std::right << std::fixed
            << std::setprecision(3) << std::setw(12) << Each.m_Sent;
  for (double Value : {Each.inTimeShare(), Each.share(Each.m_Late),
                       Each.refusedShare(), Each.share(Each.m_Expired),
                       Each.share(Each.m_Lost), Each.share(Each.m_RefusedTwice),
                       Each.share(Each.m_Returned), Each.returnersServedShare(),
                       Each.refusalTime(0.5), Each.refusalTime(0.9)})
    std::cout << std::setw(12) << Value;
  std::cout << "\n";
}

/// Prints, by the second of the arrival, what callers got at the first attempt
/// that was read.
static void printFirstReads(const CallerResult &Result, core::Duration Length) {
  std::cout << "second first_read_served_by_kind p50_ms p99_ms\n";
  for (core::Duration From{}; From < Length; From += std::chrono::seconds(1)) {
    core::Duration Until = From + std::chrono::seconds(1);
    auto Milliseconds = [&](double Quantile) {
      return core::toSeconds(Result.firstReadTime(Quantile, From, Until)) *
             1000;
    };
    std::cout << core::toSeconds(From);
    for (std::size_t Kind = 0; Kind < Result.m_Kinds.size(); ++Kind)
      std::cout << " " << Result.servedAtFirstRead(Kind, From, Until);
    std::cout << " " << Milliseconds(0.5) << " " << Milliseconds(0.99) << "\n";
  }
}

static void run(std::uint64_t Seed) {
  DispatchScenario Scenario = createScenario(Seed);
  if (!switchOn(FLAGS_on, Scenario.m_Overload)) {
    std::cerr << "unknown part in --on=" << FLAGS_on << "\n";
    std::exit(1);
  }
  if (Scenario.m_Overload.m_ReturnSchedule)
    Scenario.m_RetryAfter = returnSchedule(Seed);
  DispatchResult Result = simulateDispatch(Scenario);
  std::cout << "instances=" << Scenario.m_Instances
            << " targets=" << Scenario.m_Targets << " seed=" << Seed
            << " on=" << FLAGS_on << " load=" << FLAGS_load
            << " refusing_s=" << core::toSeconds(Result.m_RefusingTime)
            << " free_slots_while_refusing="
            << Result.m_FreeSlotSeconds /
                   std::max(1e-9, core::toSeconds(Result.m_RefusingTime))
            << " sent_to_full_target=" << Result.m_SentToFullTarget
            << " borrow_questions=" << Result.m_SlotQuestions
            << " slots_borrowed=" << Result.m_BorrowedSlots
            << " closed_unread=" << Result.m_ClosedUnread
            << " given_up_unread=" << Result.m_GivenUpUnread << "\n";
  if (Scenario.m_Skew)
    printFirstReads(Result.m_Callers, Scenario.m_Length);
  printHeader();
  for (const KindResult &Kind : Result.m_Callers.m_Kinds) {
    print(Kind.m_Kind, Kind.m_All);
    if (Kind.m_Accounts.size() > 1)
      for (const auto &[Account, Outcomes] : Kind.m_Accounts)
        print(" " + Account.value(), Outcomes);
  }
  print("all", Result.m_Callers.sum());
}

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  for (std::uint64_t I = 0; I < FLAGS_runs; ++I)
    run(FLAGS_seed + I);
}
