#include "Operator.h"

#include "Sleep.h"

#include "LibCore/Error.h"

namespace yardrill::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

static constexpr std::chrono::seconds BakeTime{7};
static constexpr milliseconds OrderInterval{800};
static constexpr milliseconds PollInterval{100};
/// Time after its deadline by which a roll-out must end, despite disturbances.
static constexpr std::chrono::seconds MaxFinishDelay{25};
/// Time to write the final state to the store and to read it here.
static constexpr milliseconds StateSlack{400};
static constexpr double BadVersionFaultShare = 0.5;

static bool isFinal(const std::string &State) {
  return State == "completed" || State == "rolled_back";
}

void Operator::run(asio::yield_context Yield) {
  m_IsIdle = false;
  try {
    while (!m_IsStopped) {
      rollOut(Yield);
      tests::sleepFor(m_Context, OrderInterval, Yield);
    }
  } catch (const std::exception &Failure) {
    m_Checker.addViolation("operator", Failure.what());
  }
  m_IsIdle = true;
}

void Operator::rollOut(asio::yield_context Yield) {
  RolloutOrder Order;
  Order.m_Pool = m_Random() % 2 == 0 ? "app" : "engine";
  Order.m_Version = "v" + std::to_string(m_NextVersion++);
  Order.m_IsBad = m_Random() % 2 == 0;
  ResponseFaults Faults;
  // A bad engine aborts its streams; a bad application responds with 500.
  (Order.m_Pool == "app" ? Faults.m_FailShare : Faults.m_AbortShare) =
      Order.m_IsBad ? BadVersionFaultShare : 0;
  m_System.putRolloutOrder(Order.m_Pool, Order.m_Version, BakeTime, Yield);
  Order.m_OrderedAt = Clock::now();
  Order.m_Deadline = Order.m_OrderedAt + BakeTime;
  m_System.startVersion(Order.m_Pool, Order.m_Version, Faults, Yield);
  std::string State = awaitFinalState(Order, Yield);
  checkOutcome(Order, State);
  if (State == "completed")
    m_System.promoteNewVersion(Order.m_Pool, Yield);
  else
    m_System.discardNewVersion(Yield);
  m_Checker.checkRollout(Order);
}

std::string Operator::awaitFinalState(const RolloutOrder &Order,
                                      asio::yield_context Yield) {
  while (Clock::now() < Order.m_Deadline + MaxFinishDelay) {
    tests::sleepFor(m_Context, PollInterval, Yield);
    std::string Text;
    try {
      Text = m_System.rolloutState(Order.m_Pool, Yield);
    } catch (const core::Error &) {
      continue; // The store is unavailable.
    }
    if (Text.empty())
      continue;
    boost::json::value Value = boost::json::parse(Text);
    std::string State(Value.at("state").as_string());
    if (Value.at("targetVersion").as_string() == Order.m_Version &&
        isFinal(State))
      return State;
  }
  return "";
}

void Operator::checkOutcome(const RolloutOrder &Order,
                            const std::string &State) {
  m_Completed += State == "completed" ? 1 : 0;
  m_RolledBack += State == "rolled_back" ? 1 : 0;
  if (State.empty())
    return m_Checker.addViolation("roll-out", Order.m_Version + " did not end");
  if (!m_Checker.isFleetUndisturbedSince(Order.m_OrderedAt))
    return;
  if (State != (Order.m_IsBad ? "rolled_back" : "completed"))
    m_Checker.addViolation("roll-out",
                           Order.m_Version + " ended with state " + State);
  if (Clock::now() > Order.m_Deadline + StateSlack)
    m_Checker.addViolation("roll-out",
                           Order.m_Version + " ended after its deadline");
}

} // namespace yardrill::soak
