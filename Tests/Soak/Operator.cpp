#include "Operator.h"

#include "Sleep.h"

#include "LibCore/Error.h"

namespace yardrill::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

static constexpr std::chrono::seconds Bake{7};
static constexpr milliseconds BetweenOrders{800};
static constexpr milliseconds LookPause{100};
/// Beyond the deadline, and beyond all trouble: until then an order has ended.
static constexpr std::chrono::seconds LongestDelay{25};
/// The store's answer and the reading of it.
static constexpr milliseconds StateSlack{400};
static constexpr double BadPart = 0.5;

static bool isFinal(const std::string &State) {
  return State == "completed" || State == "rolled_back";
}

void Operator::run(asio::yield_context Yield) {
  m_IsIdle = false;
  try {
    while (!m_IsStopped) {
      rollOut(Yield);
      tests::sleepFor(m_Context, BetweenOrders, Yield);
    }
  } catch (const std::exception &Failure) {
    m_Book.broken("operator", Failure.what());
  }
  m_IsIdle = true;
}

void Operator::rollOut(asio::yield_context Yield) {
  RolloutTerms Terms;
  Terms.m_Pool = m_Random() % 2 == 0 ? "app" : "engine";
  Terms.m_Version = "v" + std::to_string(m_NextVersion++);
  Terms.m_IsBad = m_Random() % 2 == 0;
  Misbehaviour How;
  // An engine that fails within its streams, an application that answers 500.
  (Terms.m_Pool == "app" ? How.m_Fails : How.m_Breaks) =
      Terms.m_IsBad ? BadPart : 0;
  m_Under.putOrder(Terms.m_Pool, Terms.m_Version, Bake, Yield);
  Terms.m_OrderedAt = Clock::now();
  Terms.m_Deadline = Terms.m_OrderedAt + Bake;
  m_Under.startVersion(Terms.m_Pool, Terms.m_Version, How, Yield);
  std::string State = awaitEnd(Terms, Yield);
  judge(Terms, State);
  if (State == "completed")
    m_Under.keepNewVersion(Terms.m_Pool, Yield);
  else
    m_Under.dropNewVersion(Yield);
  m_Book.checkRollout(Terms);
}

std::string Operator::awaitEnd(const RolloutTerms &Terms,
                               asio::yield_context Yield) {
  while (Clock::now() < Terms.m_Deadline + LongestDelay) {
    tests::sleepFor(m_Context, LookPause, Yield);
    std::string Text;
    try {
      Text = m_Under.rolloutState(Terms.m_Pool, Yield);
    } catch (const core::Error &) {
      continue; // The store is away.
    }
    if (Text.empty())
      continue;
    boost::json::value Value = boost::json::parse(Text);
    std::string State(Value.at("state").as_string());
    if (Value.at("targetVersion").as_string() == Terms.m_Version &&
        isFinal(State))
      return State;
  }
  return "";
}

void Operator::judge(const RolloutTerms &Terms, const std::string &State) {
  m_Completed += State == "completed" ? 1 : 0;
  m_RolledBack += State == "rolled_back" ? 1 : 0;
  if (State.empty())
    return m_Book.broken("roll-out", Terms.m_Version + " has no end");
  if (!m_Book.isCalmSince(Terms.m_OrderedAt))
    return;
  if (State != (Terms.m_IsBad ? "rolled_back" : "completed"))
    m_Book.broken("roll-out", Terms.m_Version + " ended as " + State);
  if (Clock::now() > Terms.m_Deadline + StateSlack)
    m_Book.broken("roll-out", Terms.m_Version + " ended after its deadline");
}

} // namespace yardrill::soak
