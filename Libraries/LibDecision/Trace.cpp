#include "LibDecision/Trace.h"

#include "LibCore/Error.h"
#include "LibDecision/DecisionCore.h"

#include <cereal/archives/json.hpp>
#include <istream>
#include <ostream>
#include <set>
#include <sstream>

namespace yardrill::decision {

static const char EventStart[] = "{\"at\":";

/// Removes the line breaks that cereal puts between JSON values.
static std::string flatten(const std::string &Json) {
  std::string Out;
  for (char C : Json)
    if (C != '\n')
      Out += C;
  return Out;
}

template <class T> static std::string toJson(const char *Name, const T &Value) {
  std::ostringstream Out;
  {
    auto Options = cereal::JSONOutputArchive::Options(
        std::numeric_limits<double>::max_digits10,
        cereal::JSONOutputArchive::Options::IndentChar::space, 0);
    cereal::JSONOutputArchive Archive(Out, Options);
    Archive(cereal::make_nvp(Name, Value));
  }
  return flatten(Out.str());
}

static std::string eventLine(const Event &What, core::TimePoint At) {
  std::string Json = toJson("event", What);
  return EventStart + std::to_string(At.time_since_epoch().count()) + "," +
         Json.substr(1);
}

static std::string actionLine(const Action &What) {
  return toJson("action", What);
}

void TraceWriter::write(const Event &What, core::TimePoint At,
                        const std::vector<Action> &Actions) {
  m_Out << eventLine(What, At) << '\n';
  for (const Action &A : Actions)
    m_Out << actionLine(A) << '\n';
  m_Out.flush();
}

static Event readEvent(const std::string &Line, core::TimePoint &At) {
  try {
    std::istringstream In(Line);
    cereal::JSONInputArchive Archive(In);
    std::int64_t Micros = 0;
    Event What;
    Archive(cereal::make_nvp("at", Micros), cereal::make_nvp("event", What));
    At = core::TimePoint(core::Duration(Micros));
    return What;
  } catch (const cereal::Exception &Failure) {
    throw core::Error(core::ErrorKind::Trace, Failure.what());
  }
}

namespace {

/// Counts dispatches, refusals and violations. A request counts as dispatched,
/// also after its end, unless connecting to its target failed.
class OutcomeCounter {
public:
  explicit OutcomeCounter(ReplayResult &Result) : m_Result(Result) {}

  void observe(const Event &What) {
    if (const auto *Failed = std::get_if<ConnectFailed>(&What))
      m_DispatchedRequests.erase(Failed->m_Request);
  }

  void observe(const Action &What) {
    if (const auto *DispatchAction = std::get_if<Dispatch>(&What)) {
      ++m_Result.m_Dispatched;
      bool IsFirst =
          m_DispatchedRequests.insert(DispatchAction->m_Request).second;
      m_Result.m_DuplicateDispatches += IsFirst ? 0 : 1;
    }
    const auto *RefuseAction = std::get_if<Refuse>(&What);
    if (!RefuseAction)
      return;
    ++m_Result.m_Refused;
    bool IsNotRun =
        describe(RefuseAction->m_Kind).m_RunState == RunState::NotRun;
    if (IsNotRun && m_DispatchedRequests.count(RefuseAction->m_Request) != 0)
      ++m_Result.m_RefusedAfterDispatch;
  }

private:
  ReplayResult &m_Result;
  std::set<core::RequestId> m_DispatchedRequests;
};

} // namespace

ReplayResult replay(std::istream &Trace) {
  DecisionCore Core;
  ReplayResult Result;
  OutcomeCounter Outcomes(Result);
  std::vector<Action> Actions;
  std::size_t Next = 0;
  std::string Line;
  std::size_t Number = 0;
  auto Differ = [&](std::string Expected, std::string Actual) {
    Result.m_DifferentLine = Number;
    Result.m_Expected = std::move(Expected);
    Result.m_Actual = std::move(Actual);
    return Result;
  };
  while (std::getline(Trace, Line)) {
    ++Number;
    if (Line.empty() || Line.front() == '#')
      continue;
    if (Line.compare(0, sizeof EventStart - 1, EventStart) == 0) {
      if (Next < Actions.size())
        return Differ("(no more actions)", actionLine(Actions[Next]));
      core::TimePoint At;
      Event What = readEvent(Line, At);
      Outcomes.observe(What);
      Actions = Core.handle(What, At);
      for (const Action &Each : Actions)
        Outcomes.observe(Each);
      Next = 0;
      ++Result.m_Events;
      continue;
    }
    std::string Actual = "(no more actions)";
    if (Next < Actions.size())
      Actual = actionLine(Actions[Next++]);
    if (Actual != Line)
      return Differ(Line, Actual);
    ++Result.m_Actions;
  }
  ++Number;
  if (Next < Actions.size())
    return Differ("(end of trace)", actionLine(Actions[Next]));
  return Result;
}

} // namespace yardrill::decision
