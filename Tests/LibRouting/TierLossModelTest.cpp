//===-- TierLossModelTest.cpp - Rules for the slots of lower tiers --------===//
//
// Compares rules for who may take a free slot while a group of instances is
// overloaded. Guards against a bound that serves the highest tier no better
// than a fixed reserve, or that starves the lowest one. Prints the share of the
// requests of each tier that begin in time.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/TierConcurrency.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>

using namespace yardrill;
using namespace yardrill::routing;

namespace {

constexpr std::size_t TierCount = 3;
template <class T> using PerTier = std::array<T, TierCount>;

struct TierLoad {
  double m_PerSecond; ///< Relative to the other tiers.
  double m_SlotSeconds;
  double m_MaxWaitSeconds;
};
constexpr PerTier<TierLoad> Loads{
    {{196, 0.55, 0.3}, {216, 0.28, 0.3}, {115, 1.8, 2}}};
constexpr std::size_t InstanceCount = 12;
constexpr double ReportSeconds = 0.04;
constexpr double LengthSeconds = 120;
constexpr int ClumpSize = 3;

Priority tier(std::size_t Number) {
  Priority Out;
  Out.m_Route = core::TierNumber(static_cast<std::uint32_t>(Number + 1));
  return Out;
}

/// Whether a request of a tier may take one of the free slots.
using Rule = std::function<bool(std::size_t Tier, const PoolDemand &Group,
                                double Slots, double FreeSlots)>;

/// Instances of one group with a queue each, before shared slots. An instance
/// learns what the others run and wait for once per report period. A request
/// that is sent while all slots are taken waits at the target.
class LossModel {
public:
  LossModel(double Load, unsigned Slots, unsigned Seed)
      : m_Slots(Slots), m_Random(Seed) {
    double Offered = 0;
    for (const TierLoad &Each : Loads)
      Offered += Each.m_PerSecond * Each.m_SlotSeconds;
    for (std::size_t I = 0; I < TierCount; ++I)
      m_Rates[I] = Loads[I].m_PerSecond * Load * Slots / Offered;
  }

  /// Returns the share of each tier's requests that began in time.
  PerTier<double> run(const Rule &MayStart) {
    for (std::size_t I = 0; I < TierCount; ++I)
      m_Events.push({0, Kind::Arrival, 0, I});
    m_Events.push({0, Kind::Report, 0, 0});
    while (m_Events.top().m_At < LengthSeconds) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      if (Next.m_Kind == Kind::Arrival)
        arrive(Next.m_Tier, MayStart);
      else if (Next.m_Kind == Kind::End)
        end(Next, MayStart);
      else
        report(MayStart);
    }
    PerTier<double> Out{};
    for (std::size_t I = 0; I < TierCount; ++I)
      Out[I] = m_InTime[I] / m_Arrived[I];
    return Out;
  }

private:
  enum class Kind { Arrival, Report, End };
  struct Event {
    double m_At;
    Kind m_Kind;
    std::size_t m_Instance;
    std::size_t m_Tier;
    bool operator<(const Event &Other) const { return m_At > Other.m_At; }
  };
  struct Sent {
    std::size_t m_Instance;
    std::size_t m_Tier;
    double m_Due;
  };
  struct Instance {
    PerTier<std::deque<double>> m_Due; ///< Of waiting requests.
    PerTier<unsigned> m_Running{};
    PerTier<TierDemand> m_Reported{};
  };

  double random(double Mean) {
    return std::exponential_distribution<double>(1 / Mean)(m_Random);
  }
  void arrive(std::size_t Tier, const Rule &MayStart) {
    m_Events.push(
        {m_Now + random(ClumpSize / m_Rates[Tier]), Kind::Arrival, 0, Tier});
    for (int I = 0; I < ClumpSize; ++I) {
      std::size_t At = m_Random() % InstanceCount;
      ++m_Arrived[Tier];
      m_Instances[At].m_Due[Tier].push_back(m_Now +
                                            Loads[Tier].m_MaxWaitSeconds);
      dispatch(At, MayStart);
    }
  }
  void report(const Rule &MayStart) {
    m_Events.push({m_Now + ReportSeconds, Kind::Report, 0, 0});
    for (Instance &Each : m_Instances)
      for (std::size_t I = 0; I < TierCount; ++I) {
        Each.m_Reported[I].m_Running = Each.m_Running[I];
        Each.m_Reported[I].m_Waiting =
            static_cast<std::uint32_t>(Each.m_Due[I].size());
      }
    std::size_t First = m_Random() % InstanceCount;
    for (std::size_t I = 0; I < InstanceCount; ++I)
      dispatch((First + I) % InstanceCount, MayStart);
  }
  void end(const Event &Ended, const Rule &MayStart) {
    --m_Busy;
    --m_Instances[Ended.m_Instance].m_Running[Ended.m_Tier];
    if (!m_AtTarget.empty()) {
      Sent Next = m_AtTarget.front();
      m_AtTarget.pop_front();
      begin(Next);
    }
    dispatch(Ended.m_Instance, MayStart);
  }
  void begin(const Sent &Request) {
    ++m_Busy;
    m_InTime[Request.m_Tier] += Request.m_Due >= m_Now ? 1 : 0;
    double HalfSeconds = Loads[Request.m_Tier].m_SlotSeconds / 2;
    m_Events.push({m_Now + HalfSeconds + random(HalfSeconds), Kind::End,
                   Request.m_Instance, Request.m_Tier});
  }
  PoolDemand demandAt(std::size_t At) const {
    PoolDemand Out;
    for (std::size_t I = 0; I < TierCount; ++I) {
      TierDemand &Sum = Out[tier(I)];
      Sum.m_ArrivalsPerSecond = m_Rates[I];
      Sum.m_OfferedSlots = m_Rates[I] * Loads[I].m_SlotSeconds;
      Sum.m_Running = m_Instances[At].m_Running[I];
      Sum.m_Waiting =
          static_cast<std::uint32_t>(m_Instances[At].m_Due[I].size());
      for (std::size_t Peer = 0; Peer < InstanceCount; ++Peer)
        if (Peer != At)
          Sum += m_Instances[Peer].m_Reported[I];
    }
    return Out;
  }
  void dispatch(std::size_t At, const Rule &MayStart) {
    for (std::size_t Tier = 0; Tier < TierCount; ++Tier) {
      std::deque<double> &Due = m_Instances[At].m_Due[Tier];
      while (!Due.empty() && Due.front() < m_Now)
        Due.pop_front();
      while (!Due.empty()) {
        PoolDemand Group = demandAt(At);
        double Free = m_Slots;
        for (const auto &[Each, Demand] : Group)
          Free -= Demand.m_Running;
        if (Free < 1 || !MayStart(Tier, Group, m_Slots, Free))
          break;
        Sent Request{At, Tier, Due.front()};
        Due.pop_front();
        ++m_Instances[At].m_Running[Tier];
        if (m_Busy < m_Slots)
          begin(Request);
        else
          m_AtTarget.push_back(Request);
      }
    }
  }

  unsigned m_Slots;
  std::mt19937 m_Random;
  PerTier<double> m_Rates{};
  std::array<Instance, InstanceCount> m_Instances;
  std::priority_queue<Event> m_Events;
  std::deque<Sent> m_AtTarget; ///< Waits at a target for a slot.
  unsigned m_Busy = 0;
  double m_Now = 0;
  PerTier<double> m_Arrived{};
  PerTier<double> m_InTime{};
};

bool fixedReserve(std::size_t Tier, const PoolDemand & /*Group*/, double Slots,
                  double Free) {
  return Tier + 1 < TierCount || Free - 1 >= Slots * 0.05;
}

/// Keeps free what the variation of the higher tiers' load needs.
bool trunkReservation(std::size_t Tier, const PoolDemand &Group,
                      double /*Slots*/, double Free) {
  double Higher = 0;
  for (std::size_t I = 0; I < Tier; ++I)
    Higher += Group.at(tier(I)).m_OfferedSlots;
  return Free - 1 >= std::sqrt(2 * Higher);
}

bool concurrencyBound(std::size_t Tier, const PoolDemand &Group, double Slots,
                      double Free) {
  TierConcurrency::MaxWaits Waits;
  for (std::size_t I = 0; I < TierCount; ++I)
    Waits[tier(I)] = core::fromSeconds(Loads[I].m_MaxWaitSeconds);
  return TierConcurrency(Group, Slots, Waits)
      .mayStart(tier(Tier), Free)
      .value_or(true);
}

} // namespace

class TierLossModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TierLossModelTest);
  CPPUNIT_TEST(testServesHigherTiersAndKeepsTheFloor);
  CPPUNIT_TEST_SUITE_END();

  PerTier<double> run(const char *Name, double Load, unsigned Slots,
                      const Rule &MayStart) {
    PerTier<double> Mean{};
    for (unsigned Seed : {1U, 2U, 3U}) {
      PerTier<double> Shares = LossModel(Load, Slots, Seed).run(MayStart);
      for (std::size_t I = 0; I < TierCount; ++I)
        Mean[I] += Shares[I] / 3;
    }
    std::printf("%u slots, load %.1f, %s: %.3f %.3f %.3f in time\n", Slots,
                Load, Name, Mean[0], Mean[1], Mean[2]);
    return Mean;
  }

public:
  /// The aim: more of the highest tier is served in time than with a fixed
  /// reserve, and the lowest one is served at least half of what its floor, a
  /// quarter of an equal service, stands for.
  void testServesHigherTiersAndKeepsTheFloor() {
    for (unsigned Slots : {24U, 51U})
      for (double Load : {0.9, 1.2, 1.6, 2.2}) {
        auto Reserve = run("fixed reserve", Load, Slots, fixedReserve);
        run("trunk reservation", Load, Slots, trunkReservation);
        auto Bound = run("bound", Load, Slots, concurrencyBound);
        CPPUNIT_ASSERT(Bound[0] > Reserve[0]);
        CPPUNIT_ASSERT(Slots < 50 || Bound[0] >= 0.9);
        CPPUNIT_ASSERT(Bound[2] >= 0.125 / Load);
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TierLossModelTest);
