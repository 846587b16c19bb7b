//===-- EventSimulation.h - Events in simulated time ----------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_EVENTSIMULATION_H
#define YARDRILL_TESTS_SUPPORT_EVENTSIMULATION_H

#include "LibCore/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

namespace yardrill::tests {

/// Base of simulations that run events in the order of their times, and those
/// of one time in the order in which they were added. Runs with the same seed
/// are identical.
class EventSimulation {
protected:
  explicit EventSimulation(std::uint64_t Seed) : m_Random(Seed) {}

  void at(core::TimePoint When, std::function<void()> Action) {
    m_Events.push({When, m_NextEvent++, std::move(Action)});
  }
  void after(core::Duration Delay, std::function<void()> Action) {
    at(m_Now + Delay, std::move(Action));
  }
  /// Runs all events before \p End.
  void runUntil(core::TimePoint End) {
    while (!m_Events.empty() && m_Events.top().m_At < End) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Action();
    }
  }

  /// Returns a number from 0 to 1.
  double draw() { return std::uniform_real_distribution<double>()(m_Random); }
  std::size_t drawBelow(std::size_t Max) { return m_Random() % Max; }
  /// Returns the time to the next of some random events.
  /// \param Rate events a second.
  core::Duration drawInterval(double Rate) {
    return core::fromSeconds(std::exponential_distribution<>(Rate)(m_Random));
  }

  std::mt19937_64 m_Random;
  core::TimePoint m_Now{std::chrono::hours(1)};

private:
  struct Event {
    core::TimePoint m_At;
    std::uint64_t m_Sequence;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_At, Other.m_Sequence) <
             std::tie(m_At, m_Sequence);
    }
  };

  std::priority_queue<Event> m_Events;
  std::uint64_t m_NextEvent = 0;
};

} // namespace yardrill::tests

#endif
