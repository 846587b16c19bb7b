//===-- RoutingProgram.cpp - Who runs, where and when, compared -----------===//
//
// Drives real decision cores, several instances, and baselines through the
// same workloads before the same engine models, and prints one line of
// key=value for each way of deciding, averaged over the seeds: the share
// answered in time by tier, wasted prefill, first token, refusals. One engine
// slows to a third in the middle; reports of load are two seconds old; an
// instance is lost in the burst.
//
//===----------------------------------------------------------------------===//
#include "EngineModel.h"
#include "LibDecision/DecisionCore.h"
#include "Workload.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <queue>
#include <random>
#include <set>

DEFINE_uint32(seeds, 6, "workloads of each kind");
DEFINE_string(workload, "", "trust-sale or club-evening; empty: both");
DEFINE_double(load, 1, "times the workload's own rate");
DEFINE_uint32(kept_places, 1,
              "yardrill: places of each engine kept for tier 1");
DEFINE_double(prefill_weight, 25, "yardrill: weight of a prefill token");
DEFINE_string(write_workload, "", "write the first workload to this file");
DEFINE_string(only, "", "run only this way of deciding");

using namespace yardrill;
using namespace yardrill::bench;

static const std::size_t EngineCount = 12;
static const std::size_t EnginePlaces = 8;
static const std::size_t CachedPrefixes = 10;
static const core::Duration ReportPeriod = std::chrono::seconds(2);
static const core::Duration TickPeriod = std::chrono::milliseconds(50);
static const core::Duration MessageDelay = std::chrono::milliseconds(1);
static const core::PoolName Pool("p");

namespace {

struct Result {
  double m_InTime[4] = {};
  double m_Arrived[4] = {};
  double m_InTimeOfBurst[4] = {}; ///< Of those that arrived in the burst.
  double m_ArrivedInBurst[4] = {};
  double m_Wasted = 0;
  double m_Read = 0;
  double m_Refused = 0;
  double m_Evicted = 0;
  std::vector<double> m_FirstToken[4];

  void add(const Result &Other);
};

class Simulation;

/// One way of deciding. It calls back Simulation::dispatch and refuse.
class Scheduler {
public:
  explicit Scheduler(Simulation &Owner) : m_Owner(Owner) {}
  virtual ~Scheduler() = default;
  virtual void arrived(std::size_t Index) = 0;
  virtual void began(std::size_t) {}
  virtual void ended(std::size_t, bool IsEvicted) = 0;
  virtual void start() {}
  virtual void loseInstance(std::size_t) {}

protected:
  Simulation &m_Owner;
};

class Simulation {
public:
  using Make = std::function<std::unique_ptr<Scheduler>(Simulation &)>;

  Simulation(std::vector<Request> Requests, unsigned Seed, const Make &Wanted);

  Result run();
  void at(core::Duration When, std::function<void()> What);
  core::Duration now() const { return m_Now; }
  core::TimePoint steady() const {
    return core::TimePoint(std::chrono::hours(1)) + m_Now;
  }
  void dispatch(std::size_t Index, std::size_t Engine);
  void cancel(std::size_t Index);
  void refuse(std::size_t Index);

  const std::vector<Request> &requests() const { return m_Requests; }
  std::size_t reportedLoad(std::size_t Engine) const {
    return m_Reported[Engine];
  }

private:
  struct Timed {
    core::Duration m_At;
    std::uint64_t m_Order;
    std::function<void()> m_What;
    bool operator<(const Timed &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
    }
  };
  bool isInBurst(std::size_t Index) const {
    core::Duration End = m_Requests.back().m_At;
    return m_Requests[Index].m_At > End / 3 &&
           m_Requests[Index].m_At < End * 2 / 3;
  }
  void startAt(std::size_t Engine);
  void finish(std::size_t Index, std::size_t Engine);
  void noteRead(std::size_t Engine, const Started &What);
  void report();

  std::vector<Request> m_Requests;
  std::vector<double> m_Speeds;
  std::vector<EngineModel> m_Engines;
  std::vector<std::size_t> m_Reported;
  std::vector<int> m_EngineOf;
  std::vector<bool> m_IsCancelled;
  std::vector<bool> m_HasStarted;
  std::priority_queue<Timed> m_Queue;
  std::uint64_t m_NextOrder = 0;
  core::Duration m_Now{};
  std::unique_ptr<Scheduler> m_Scheduler;
  Result m_Result;
};

} // namespace

void Result::add(const Result &Other) {
  for (int T = 1; T < 4; ++T) {
    m_InTime[T] += Other.m_InTime[T];
    m_Arrived[T] += Other.m_Arrived[T];
    m_InTimeOfBurst[T] += Other.m_InTimeOfBurst[T];
    m_ArrivedInBurst[T] += Other.m_ArrivedInBurst[T];
    m_FirstToken[T].insert(m_FirstToken[T].end(), Other.m_FirstToken[T].begin(),
                           Other.m_FirstToken[T].end());
  }
  m_Wasted += Other.m_Wasted;
  m_Read += Other.m_Read;
  m_Refused += Other.m_Refused;
  m_Evicted += Other.m_Evicted;
}

Simulation::Simulation(std::vector<Request> Requests, unsigned Seed,
                       const Make &Wanted)
    : m_Requests(std::move(Requests)), m_Reported(EngineCount),
      m_EngineOf(m_Requests.size(), -1), m_IsCancelled(m_Requests.size()),
      m_HasStarted(m_Requests.size()) {
  std::mt19937_64 Random(Seed + 1000);
  for (std::size_t I = 0; I < EngineCount; ++I) {
    m_Speeds.push_back(Random() % 3 == 0 ? 0.5 : 1.0);
    m_Engines.emplace_back(m_Speeds.back(), EnginePlaces, CachedPrefixes);
  }
  std::size_t Slow = Random() % EngineCount;
  at(m_Requests.back().m_At / 2,
     [this, Slow] { m_Engines[Slow].setSlowness(3); });
  m_Scheduler = Wanted(*this);
}

void Simulation::at(core::Duration When, std::function<void()> What) {
  m_Queue.push({When, m_NextOrder++, std::move(What)});
}

Result Simulation::run() {
  m_Scheduler->start();
  for (std::size_t I = 0; I < m_Requests.size(); ++I)
    at(m_Requests[I].m_At, [this, I] {
      ++m_Result.m_Arrived[m_Requests[I].m_Tier];
      m_Result.m_ArrivedInBurst[m_Requests[I].m_Tier] += isInBurst(I) ? 1 : 0;
      m_Scheduler->arrived(I);
    });
  at(m_Requests.back().m_At * 45 / 100,
     [this] { m_Scheduler->loseInstance(3); });
  report();
  core::Duration End = m_Requests.back().m_At + std::chrono::seconds(180);
  while (!m_Queue.empty() && m_Queue.top().m_At <= End) {
    Timed Next = m_Queue.top();
    m_Queue.pop();
    m_Now = Next.m_At;
    Next.m_What();
  }
  return m_Result;
}

void Simulation::report() {
  for (std::size_t I = 0; I < EngineCount; ++I)
    m_Reported[I] = m_Engines[I].load();
  at(m_Now + ReportPeriod, [this] { report(); });
}

void Simulation::dispatch(std::size_t Index, std::size_t Engine) {
  m_EngineOf[Index] = static_cast<int>(Engine);
  m_Engines[Engine].enqueue(Index, m_Requests[Index]);
  startAt(Engine);
}

void Simulation::noteRead(std::size_t Engine, const Started &What) {
  const Request &Which = m_Requests[What.m_Request];
  if (What.m_IsCached)
    return;
  m_Result.m_Read += Which.m_Prefill;
  bool IsElsewhere = false;
  for (std::size_t I = 0; I < EngineCount; ++I)
    IsElsewhere = IsElsewhere || (I != Engine && Which.m_Prefix != 0 &&
                                  m_Engines[I].hasPrefix(Which.m_Prefix));
  if (IsElsewhere)
    m_Result.m_Wasted += Which.m_Prefill;
}

void Simulation::startAt(std::size_t Engine) {
  while (auto Next = m_Engines[Engine].startNext(m_Requests)) {
    std::size_t Index = Next->m_Request;
    m_HasStarted[Index] = true;
    noteRead(Engine, *Next);
    at(m_Now + Next->m_Prefill, [this, Index] {
      if (m_IsCancelled[Index])
        return;
      const Request &Which = m_Requests[Index];
      m_Result.m_FirstToken[Which.m_Tier].push_back(
          core::toSeconds(m_Now - Which.m_At));
      m_Scheduler->began(Index);
    });
    at(m_Now + Next->m_Total, [this, Index, Engine] {
      if (!m_IsCancelled[Index])
        finish(Index, Engine);
    });
  }
}

void Simulation::finish(std::size_t Index, std::size_t Engine) {
  const Request &Which = m_Requests[Index];
  m_Engines[Engine].finished();
  if (m_Now <= Which.m_At + Which.m_Deadline) {
    ++m_Result.m_InTime[Which.m_Tier];
    m_Result.m_InTimeOfBurst[Which.m_Tier] += isInBurst(Index) ? 1 : 0;
  }
  startAt(Engine);
  m_Scheduler->ended(Index, false);
}

void Simulation::cancel(std::size_t Index) {
  const Request &Which = m_Requests[Index];
  auto Engine = static_cast<std::size_t>(m_EngineOf[Index]);
  m_IsCancelled[Index] = true;
  ++m_Result.m_Evicted;
  if (!m_Engines[Engine].cancelWaiting(Index, Which)) {
    m_Result.m_Wasted += Which.m_Prefill;
    m_Engines[Engine].finished();
    startAt(Engine);
  }
  at(m_Now + MessageDelay, [this, Index] { m_Scheduler->ended(Index, true); });
}

void Simulation::refuse(std::size_t) { ++m_Result.m_Refused; }

//===----------------------------------------------------------------------===//
// Baselines: each request goes to an engine's own queue at once
//===----------------------------------------------------------------------===//

namespace {

enum class Choice { Random, LeastReported, TwoChoices, LeastOwn };

class Baseline final : public Scheduler {
public:
  Baseline(Simulation &Owner, Choice How, unsigned Seed)
      : Scheduler(Owner), m_How(How), m_Random(Seed),
        m_Own(16, std::vector<std::size_t>(EngineCount)),
        m_EngineOf(Owner.requests().size()) {}

  void arrived(std::size_t Index) override {
    std::size_t Instance = m_Owner.requests()[Index].m_Instance;
    std::size_t Engine = choose(Instance);
    m_EngineOf[Index] = Engine;
    ++m_Own[Instance][Engine];
    m_Owner.dispatch(Index, Engine);
  }
  void ended(std::size_t Index, bool) override {
    --m_Own[m_Owner.requests()[Index].m_Instance][m_EngineOf[Index]];
  }

private:
  std::size_t any() { return m_Random() % EngineCount; }

  template <class Load> std::size_t least(Load &&LoadOf) {
    std::size_t First = any();
    std::size_t Best = First;
    for (std::size_t I = 1; I < EngineCount; ++I) {
      std::size_t Next = (First + I) % EngineCount;
      if (LoadOf(Next) < LoadOf(Best))
        Best = Next;
    }
    return Best;
  }

  std::size_t choose(std::size_t Instance) {
    auto Reported = [this](std::size_t E) { return m_Owner.reportedLoad(E); };
    auto Own = [this, Instance](std::size_t E) { return m_Own[Instance][E]; };
    switch (m_How) {
    case Choice::Random:
      return any();
    case Choice::LeastReported:
      return least(Reported);
    case Choice::LeastOwn:
      return least(Own);
    case Choice::TwoChoices: {
      std::size_t A = any();
      std::size_t B = any();
      return Reported(A) <= Reported(B) ? A : B;
    }
    }
    return 0;
  }

  Choice m_How;
  std::mt19937_64 m_Random;
  std::vector<std::vector<std::size_t>> m_Own;
  std::vector<std::size_t> m_EngineOf;
};

//===----------------------------------------------------------------------===//
// yardrill: real decision cores that talk to each other
//===----------------------------------------------------------------------===//

class Cores final : public Scheduler {
public:
  Cores(Simulation &Owner, std::size_t Instances, unsigned Seed)
      : Scheduler(Owner), m_Cores(Instances), m_IsLost(Instances),
        m_Seed(Seed) {}

  void start() override {
    auto Configuration = config::FleetConfiguration::parse(
        configuration(), "bench", core::ConfigurationVersion(1));
    for (std::size_t I = 0; I < m_Cores.size(); ++I) {
      decision::InstanceStarted First;
      First.m_Self = home(I);
      First.m_Seed = m_Seed * 100UL + I;
      tell(I, First);
      tell(I, decision::ConfigurationAccepted{Configuration});
      tell(I, decision::InstancesCounted{
                  static_cast<std::uint32_t>(m_Cores.size())});
      tick(I);
    }
  }

  void arrived(std::size_t Index) override {
    const Request &Which = m_Owner.requests()[Index];
    std::size_t Instance = Which.m_Instance;
    // The balancer no longer sends to an instance that is gone.
    while (m_IsLost[Instance])
      Instance = (Instance + 1) % m_Cores.size();
    m_InstanceOf[Index] = Instance;
    decision::RequestArrived What;
    What.m_Request = core::RequestId(Index + 1);
    What.m_Tier = core::TierNumber(Which.m_Tier);
    What.m_Account = core::AccountName("a" + std::to_string(Which.m_Account));
    What.m_Pool = Pool;
    What.m_PrefillTokens = Which.m_Prefill;
    What.m_OutputTokens = Which.m_Output;
    What.m_PrefixHash = Which.m_Prefix;
    tell(Instance, What);
  }

  void began(std::size_t Index) override {
    tellOwner(Index, decision::AnswerBegan{core::RequestId(Index + 1)});
  }

  void ended(std::size_t Index, bool IsEvicted) override {
    tellOwner(Index, decision::AnswerEnded{
                         core::RequestId(Index + 1),
                         IsEvicted ? decision::AnswerOutcome::Evicted
                                   : decision::AnswerOutcome::Complete,
                         false, m_Owner.requests()[Index].m_Output});
  }

  void loseInstance(std::size_t Instance) override {
    m_IsLost[Instance] = true;
    // Its callers' connections break, and the engines cancel what it ran.
    for (const auto &[Index, Owner] : m_InstanceOf)
      if (Owner == Instance && m_Dispatched.count(Index) != 0)
        m_Owner.cancel(Index);
    m_Owner.at(m_Owner.now() + std::chrono::seconds(7), [this, Instance] {
      for (std::size_t I = 0; I < m_Cores.size(); ++I) {
        if (m_IsLost[I])
          continue;
        tell(I, decision::MemberGone{home(Instance).m_Incarnation});
        tell(I, decision::InstancesCounted{
                    static_cast<std::uint32_t>(m_Cores.size() - 1)});
      }
    });
  }

private:
  static std::string configuration() {
    std::string Text =
        "tiers:\n"
        "  - {name: a, tier: 1, deadline_ms: 2000}\n"
        "  - {name: b, tier: 2, deadline_ms: 12000}\n"
        "  - {name: c, tier: 3, deadline_ms: 80000}\n"
        "pools:\n  - name: p\n    kind: model\n    models: [m]\n"
        "    queue_limit: 10000\n    kept_places: " +
        std::to_string(FLAGS_kept_places) +
        "\n    prefill_weight: " + std::to_string(FLAGS_prefill_weight) +
        "\n    targets:\n";
    for (std::size_t I = 0; I < EngineCount; ++I)
      Text += "      - {name: e" + std::to_string(I) +
              ", address: 127.0.0.1:1, data_hall: h, places: " +
              std::to_string(EnginePlaces) + "}\n";
    return Text;
  }

  static decision::Home home(std::size_t Instance) {
    return {core::IncarnationId(Instance + 1),
            {"127.0.0.1", static_cast<std::uint16_t>(Instance + 1)}};
  }

  void tick(std::size_t Instance) {
    if (m_IsLost[Instance])
      return;
    tell(Instance, decision::TimePassed{});
    m_Owner.at(m_Owner.now() + TickPeriod,
               [this, Instance] { tick(Instance); });
  }

  void tellOwner(std::size_t Index, const decision::Event &What) {
    std::size_t Instance = m_InstanceOf.at(Index);
    if (!m_IsLost[Instance])
      tell(Instance, What);
  }

  void tell(std::size_t Instance, const decision::Event &What) {
    if (m_IsLost[Instance])
      return;
    for (const decision::Action &Next :
         m_Cores[Instance].handle(What, m_Owner.steady()))
      act(Instance, Next);
    if (const auto *End = std::get_if<decision::AnswerEnded>(&What))
      m_Dispatched.erase(End->m_Request.value() - 1);
  }

  void send(const decision::Home &To, const decision::Event &What) {
    m_Owner.at(m_Owner.now() + MessageDelay,
               [this, To, What] { tell(To.m_Incarnation.value() - 1, What); });
  }

  void act(std::size_t Instance, const decision::Action &What) {
    if (const auto *Go = std::get_if<decision::Dispatch>(&What)) {
      std::size_t Index = Go->m_Request.value() - 1;
      m_Dispatched.insert(Index);
      m_Owner.dispatch(Index, std::stoul(Go->m_Target.value().substr(1)));
    }
    if (const auto *No = std::get_if<decision::Refuse>(&What)) {
      m_Owner.refuse(No->m_Request.value() - 1);
      if (No->m_ValidUntil != 0)
        send(home(Instance), decision::RefusalSettled{No->m_Request, true});
    }
    if (const auto *Cut = std::get_if<decision::Cancel>(&What))
      m_Owner.cancel(Cut->m_Request.value() - 1);
    if (const auto *Order = std::get_if<decision::SendFloorOrder>(&What))
      send(Order->m_To, Order->m_Order);
    if (const auto *Report = std::get_if<decision::SendFloorReport>(&What))
      send(Report->m_To, Report->m_Report);
    if (std::get_if<decision::ReadFloorRecord>(&What))
      send(home(Instance),
           decision::FloorRecordRead{
               Pool, m_Revision, m_Record,
               m_Revision != 0 &&
                   !m_IsLost[m_Record.m_Leader.m_Incarnation.value() - 1]});
    if (const auto *Write = std::get_if<decision::WriteFloorRecord>(&What)) {
      bool IsWritten = Write->m_Revision == m_Revision;
      if (IsWritten) {
        m_Record = Write->m_Record;
        ++m_Revision;
      }
      send(home(Instance),
           decision::FloorRecordWritten{Pool, IsWritten, m_Revision});
    }
  }

  std::vector<decision::DecisionCore> m_Cores;
  std::vector<bool> m_IsLost;
  unsigned m_Seed;
  std::map<std::size_t, std::size_t> m_InstanceOf;
  std::set<std::size_t> m_Dispatched;
  decision::FloorRecord m_Record;
  std::int64_t m_Revision = 0;
};

} // namespace

//===----------------------------------------------------------------------===//
// Printing
//===----------------------------------------------------------------------===//

static double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Part * static_cast<double>(Values.size() - 1))];
}

static void print(const std::string &Workload, const std::string &How,
                  const Result &Sum) {
  std::cout << "workload=" << Workload << " way=" << How;
  for (int T = 1; T < 4; ++T)
    std::cout << " in_time_" << T << '='
              << std::round(1000 * Sum.m_InTime[T] / Sum.m_Arrived[T]) / 1000;
  for (int T = 1; T < 4; ++T)
    std::cout << " burst_in_time_" << T << '='
              << std::round(1000 * Sum.m_InTimeOfBurst[T] /
                            Sum.m_ArrivedInBurst[T]) /
                     1000;
  std::cout << " wasted_prefill="
            << std::round(1000 * Sum.m_Wasted / std::max(Sum.m_Read, 1.0)) /
                   1000
            << " read_tokens_m=" << std::round(Sum.m_Read / 1e5) / 10
            << " wasted_tokens_m=" << std::round(Sum.m_Wasted / 1e5) / 10
            << " first_token_p95_s="
            << std::round(100 * percentile(Sum.m_FirstToken[1], 0.95)) / 100
            << " refused=" << Sum.m_Refused << " evicted=" << Sum.m_Evicted
            << std::endl;
}

static void compare(const WorkloadShape &Shape) {
  std::vector<std::pair<std::string, std::function<Simulation::Make(unsigned)>>>
      Ways;
  for (auto [Name, How] :
       {std::make_pair("random", Choice::Random),
        std::make_pair("least-reported", Choice::LeastReported),
        std::make_pair("two-choices", Choice::TwoChoices),
        std::make_pair("least-own", Choice::LeastOwn)})
    Ways.emplace_back(Name, [How = How](unsigned Seed) -> Simulation::Make {
      return [How, Seed](Simulation &Owner) {
        return std::make_unique<Baseline>(Owner, How, Seed);
      };
    });
  Ways.emplace_back("yardrill", [&](unsigned Seed) -> Simulation::Make {
    return [&Shape, Seed](Simulation &Owner) {
      return std::make_unique<Cores>(Owner, Shape.m_Instances, Seed);
    };
  });
  for (const auto &[Name, Make] : Ways) {
    if (!FLAGS_only.empty() && FLAGS_only != Name)
      continue;
    Result Sum;
    for (unsigned Seed = 1; Seed <= FLAGS_seeds; ++Seed)
      Sum.add(Simulation(makeWorkload(Shape, Seed), Seed, Make(Seed)).run());
    print(Shape.m_Name, Name, Sum);
  }
}

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  for (WorkloadShape Shape : {trustSale(), clubEvening()}) {
    if (!FLAGS_workload.empty() && FLAGS_workload != Shape.m_Name)
      continue;
    Shape.m_Rate *= FLAGS_load;
    if (!FLAGS_write_workload.empty()) {
      std::ofstream Out(FLAGS_write_workload);
      writeWorkload(Out, makeWorkload(Shape, 1));
    }
    compare(Shape);
  }
}
