//===-- Baseline.h - Load balancers to compare yardrill with --------------===//
#ifndef YARDRILL_BENCH_BASELINE_H
#define YARDRILL_BENCH_BASELINE_H

#include "Simulation.h"

#include <random>

namespace yardrill::bench {

enum class BaselinePolicy {
  Random,
  LeastReported, ///< Least load in the engines' last reports.
  TwoChoices,    ///< Less reported load of two random engines.
  LeastOwn       ///< Fewest requests of the deciding instance.
};

/// Dispatches each request immediately to the queue of the engine that its
/// policy selects.
class Baseline final : public Scheduler {
public:
  Baseline(Simulation &Owner, BaselinePolicy Policy, unsigned Seed)
      : Scheduler(Owner), m_Policy(Policy), m_Random(Seed),
        m_LocalLoad(16, std::vector<std::size_t>(EngineCount)),
        m_EngineOf(Owner.requests().size()) {}

  void requestArrived(std::size_t Index) override {
    std::size_t Instance = m_Owner.requests()[Index].m_Instance;
    std::size_t Engine = chooseEngine(Instance);
    m_EngineOf[Index] = Engine;
    ++m_LocalLoad[Instance][Engine];
    m_Owner.dispatch(Index, Engine);
  }
  void responseEnded(std::size_t Index, bool) override {
    --m_LocalLoad[m_Owner.requests()[Index].m_Instance][m_EngineOf[Index]];
  }

private:
  std::size_t randomEngine() { return m_Random() % EngineCount; }

  template <class Load> std::size_t leastLoaded(Load &&LoadOf) {
    std::size_t First = randomEngine();
    std::size_t Best = First;
    for (std::size_t I = 1; I < EngineCount; ++I) {
      std::size_t Next = (First + I) % EngineCount;
      if (LoadOf(Next) < LoadOf(Best))
        Best = Next;
    }
    return Best;
  }

  std::size_t chooseEngine(std::size_t Instance) {
    auto Reported = [this](std::size_t E) { return m_Owner.reportedLoad(E); };
    auto LocalLoad = [this, Instance](std::size_t E) {
      return m_LocalLoad[Instance][E];
    };
    switch (m_Policy) {
    case BaselinePolicy::Random:
      return randomEngine();
    case BaselinePolicy::LeastReported:
      return leastLoaded(Reported);
    case BaselinePolicy::LeastOwn:
      return leastLoaded(LocalLoad);
    case BaselinePolicy::TwoChoices: {
      std::size_t A = randomEngine();
      std::size_t B = randomEngine();
      return Reported(A) <= Reported(B) ? A : B;
    }
    }
    return 0;
  }

  BaselinePolicy m_Policy;
  std::mt19937_64 m_Random;
  std::vector<std::vector<std::size_t>> m_LocalLoad;
  std::vector<std::size_t> m_EngineOf;
};

} // namespace yardrill::bench

#endif
