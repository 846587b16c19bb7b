#include "CoreScheduler.h"

#include "LibDecision/DecisionCore.h"

#include <chrono>
#include <map>
#include <set>

namespace yardrill::bench {

static const core::Duration TickPeriod = std::chrono::milliseconds(50);
static const core::PoolName Pool("p");

namespace {

class CoreScheduler final : public Scheduler {
public:
  CoreScheduler(Simulation &Owner, const CoreSchedulerSettings &Settings,
                unsigned Seed)
      : Scheduler(Owner), m_Settings(Settings), m_Cores(Settings.m_Instances),
        m_IsLost(Settings.m_Instances), m_Seed(Seed) {}

  void start() override {
    auto Configuration = config::FleetConfiguration::parse(
        configuration(), "bench", core::ConfigurationVersion(1));
    for (std::size_t I = 0; I < m_Cores.size(); ++I) {
      decision::InstanceStarted Started;
      Started.m_Self = instanceRef(I);
      Started.m_Seed = m_Seed * 100UL + I;
      handleEvent(I, Started);
      handleEvent(I, decision::ConfigurationAccepted{Configuration});
      handleEvent(I, decision::InstanceCountChanged{
                         static_cast<std::uint32_t>(m_Cores.size())});
      tick(I);
    }
  }

  void requestArrived(std::size_t Index) override {
    const Request &Simulated = m_Owner.requests()[Index];
    std::size_t Instance = Simulated.m_Instance;
    // The balancer skips lost instances.
    while (m_IsLost[Instance])
      Instance = (Instance + 1) % m_Cores.size();
    m_InstanceOf[Index] = Instance;
    decision::RequestArrived Arrival;
    Arrival.m_Request = core::RequestId(Index + 1);
    Arrival.m_Tier = core::TierNumber(Simulated.m_Tier);
    Arrival.m_Account =
        core::AccountName("a" + std::to_string(Simulated.m_Account));
    Arrival.m_Pool = Pool;
    Arrival.m_PrefillTokens = Simulated.m_Prefill;
    Arrival.m_OutputTokens = Simulated.m_Output;
    Arrival.m_PrefixHash = Simulated.m_Prefix;
    handleEvent(Instance, Arrival);
  }

  void responseStarted(std::size_t Index) override {
    handleEventAtOwner(Index,
                       decision::ResponseStarted{core::RequestId(Index + 1)});
  }

  void responseEnded(std::size_t Index, bool IsEvicted) override {
    handleEventAtOwner(
        Index,
        decision::ResponseEnded{core::RequestId(Index + 1),
                                IsEvicted ? decision::ResponseOutcome::Evicted
                                          : decision::ResponseOutcome::Complete,
                                false, m_Owner.requests()[Index].m_Output});
  }

  void loseInstance(std::size_t Instance) override {
    m_IsLost[Instance] = true;
    // Its connections break, so the engines cancel its requests.
    for (const auto &[Index, RequestInstance] : m_InstanceOf)
      if (RequestInstance == Instance && m_Dispatched.count(Index) != 0)
        m_Owner.cancel(Index);
    m_Owner.at(m_Owner.now() + std::chrono::seconds(7), [this, Instance] {
      for (std::size_t I = 0; I < m_Cores.size(); ++I) {
        if (m_IsLost[I])
          continue;
        handleEvent(I,
                    decision::MemberGone{instanceRef(Instance).m_Incarnation});
        handleEvent(I, decision::InstanceCountChanged{
                           static_cast<std::uint32_t>(m_Cores.size() - 1)});
      }
    });
  }

private:
  std::string configuration() const {
    std::string Text =
        "tiers:\n"
        "  - {name: a, tier: 1, deadline_ms: 2000}\n"
        "  - {name: b, tier: 2, deadline_ms: 12000}\n"
        "  - {name: c, tier: 3, deadline_ms: 80000}\n"
        "pools:\n  - name: p\n    kind: model\n    models: [m]\n"
        "    queue_limit: 10000\n    kept_places: " +
        std::to_string(m_Settings.m_ReservedSlots) +
        "\n    prefill_weight: " + std::to_string(m_Settings.m_PrefillWeight) +
        "\n    targets:\n";
    for (std::size_t I = 0; I < EngineCount; ++I)
      Text += "      - {name: e" + std::to_string(I) +
              ", address: 127.0.0.1:1, data_hall: h, places: " +
              std::to_string(EngineSlots) + "}\n";
    return Text;
  }

  static decision::InstanceRef instanceRef(std::size_t Instance) {
    return {core::IncarnationId(Instance + 1),
            {"127.0.0.1", static_cast<std::uint16_t>(Instance + 1)}};
  }

  void tick(std::size_t Instance) {
    if (m_IsLost[Instance])
      return;
    handleEvent(Instance, decision::TimePassed{});
    m_Owner.at(m_Owner.now() + TickPeriod,
               [this, Instance] { tick(Instance); });
  }

  void handleEventAtOwner(std::size_t Index, const decision::Event &Input) {
    std::size_t Instance = m_InstanceOf.at(Index);
    if (!m_IsLost[Instance])
      handleEvent(Instance, Input);
  }

  void handleEvent(std::size_t Instance, const decision::Event &Input) {
    if (m_IsLost[Instance])
      return;
    for (const decision::Action &Next :
         m_Cores[Instance].handle(Input, m_Owner.steadyNow()))
      perform(Instance, Next);
    if (const auto *End = std::get_if<decision::ResponseEnded>(&Input))
      m_Dispatched.erase(End->m_Request.value() - 1);
  }

  void send(const decision::InstanceRef &To, const decision::Event &Input) {
    m_Owner.at(m_Owner.now() + MessageDelay, [this, To, Input] {
      handleEvent(To.m_Incarnation.value() - 1, Input);
    });
  }

  void perform(std::size_t Instance, const decision::Action &Next) {
    if (const auto *Assignment = std::get_if<decision::Dispatch>(&Next)) {
      std::size_t Index = Assignment->m_Request.value() - 1;
      m_Dispatched.insert(Index);
      m_Owner.dispatch(Index,
                       std::stoul(Assignment->m_Target.value().substr(1)));
    }
    if (const auto *Refusal = std::get_if<decision::Refuse>(&Next)) {
      m_Owner.refuse(Refusal->m_Request.value() - 1);
      if (Refusal->m_ValidUntil != 0)
        send(instanceRef(Instance),
             decision::RefusalSettled{Refusal->m_Request, true});
    }
    if (const auto *Eviction = std::get_if<decision::Cancel>(&Next))
      m_Owner.cancel(Eviction->m_Request.value() - 1);
    if (const auto *Order = std::get_if<decision::SendThresholdCommand>(&Next))
      send(Order->m_To, Order->m_Command);
    if (const auto *Report = std::get_if<decision::SendThresholdReport>(&Next))
      send(Report->m_To, Report->m_Report);
    if (std::get_if<decision::ReadThresholdRecord>(&Next))
      send(instanceRef(Instance),
           decision::ThresholdRecordRead{
               Pool, m_Revision, m_Record,
               m_Revision != 0 &&
                   !m_IsLost[m_Record.m_Leader.m_Incarnation.value() - 1]});
    if (const auto *Write =
            std::get_if<decision::WriteThresholdRecord>(&Next)) {
      bool IsWritten = Write->m_Revision == m_Revision;
      if (IsWritten) {
        m_Record = Write->m_Record;
        ++m_Revision;
      }
      send(instanceRef(Instance),
           decision::ThresholdRecordWritten{Pool, IsWritten, m_Revision});
    }
  }

  CoreSchedulerSettings m_Settings;
  std::vector<decision::DecisionCore> m_Cores;
  std::vector<bool> m_IsLost;
  unsigned m_Seed;
  std::map<std::size_t, std::size_t> m_InstanceOf;
  std::set<std::size_t> m_Dispatched;
  decision::ThresholdRecord m_Record;
  std::int64_t m_Revision = 0;
};

} // namespace

std::unique_ptr<Scheduler>
makeCoreScheduler(Simulation &Owner, const CoreSchedulerSettings &Settings,
                  unsigned Seed) {
  return std::make_unique<CoreScheduler>(Owner, Settings, Seed);
}

} // namespace yardrill::bench
