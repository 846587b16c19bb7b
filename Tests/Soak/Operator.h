//===-- Operator.h - Orders roll-outs one after the other -----------------===//
#ifndef YARDRILL_TESTS_SOAK_OPERATOR_H
#define YARDRILL_TESTS_SOAK_OPERATOR_H

#include "Deployment.h"

namespace yardrill::soak {

/// Orders roll-outs of good and bad versions for both pools and checks their
/// outcome. It draws from its own generator, so that the sequence of its orders
/// depends only on the seed.
class Operator {
public:
  Operator(boost::asio::io_context &Context, InvariantChecker &Checker,
           Deployment &System, std::uint64_t Seed)
      : m_Context(Context), m_Checker(Checker), m_System(System),
        m_Random(Seed) {}

  /// Orders roll-outs until stop() is called, and finishes the current one.
  void run(boost::asio::yield_context Yield);
  void stop() { m_IsStopped = true; }
  /// Returns whether run() is not running.
  bool isIdle() const { return m_IsIdle; }
  std::size_t completed() const { return m_Completed; }
  std::size_t rolledBack() const { return m_RolledBack; }

private:
  void rollOut(boost::asio::yield_context Yield);
  /// Returns the final state, or an empty string if the roll-out has none
  /// MaxFinishDelay after its deadline.
  std::string awaitFinalState(const RolloutOrder &Order,
                              boost::asio::yield_context Yield);
  void checkOutcome(const RolloutOrder &Order, const std::string &State);

  boost::asio::io_context &m_Context;
  InvariantChecker &m_Checker;
  Deployment &m_System;
  std::mt19937_64 m_Random;
  std::size_t m_NextVersion = 2;
  std::size_t m_Completed = 0;
  std::size_t m_RolledBack = 0;
  bool m_IsStopped = false;
  bool m_IsIdle = true;
};

} // namespace yardrill::soak

#endif
