//===-- Operator.h - Orders roll-outs, one after the other ----------------===//
#ifndef YARDRILL_TESTS_SOAK_OPERATOR_H
#define YARDRILL_TESTS_SOAK_OPERATOR_H

#include "Deployment.h"

namespace yardrill::soak {

/// Good and bad versions of both pools, drawn from a seed of its own: the
/// schedule of the other faults stays what it was.
class Operator {
public:
  Operator(boost::asio::io_context &Context, InvariantChecker &Checker,
           Deployment &System, std::uint64_t Seed)
      : m_Context(Context), m_Checker(Checker), m_System(System),
        m_Random(Seed) {}

  /// Orders until stop() is called; the one under way is seen to its end.
  void run(boost::asio::yield_context Yield);
  void stop() { m_IsStopped = true; }
  bool isIdle() const { return m_IsIdle; }
  std::size_t completed() const { return m_Completed; }
  std::size_t rolledBack() const { return m_RolledBack; }

private:
  void rollOut(boost::asio::yield_context Yield);
  /// \returns the last state, once it is final or has taken too long.
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
