#include "RequestTimeline.h"

#include <algorithm>
#include <cstdio>
#include <istream>
#include <ostream>
#include <set>

namespace yardrill::program {

using core::LogEntry;

/// Events that may explain a failure without naming the request.
static const std::set<std::string> &contextEvents() {
  static const std::set<std::string> All = {
      "store-lost",        "store-connected",     "peer-lost",
      "target-gone",       "target-replaced",     "target-refused",
      "target-broke",      "connect-failed",      "instance-started",
      "target-ended",      "content-quarantined", "content-released",
      "instance-stopping", "instance-stopped",    "log-lines-dropped"};
  return All;
}

/// How long before the request's end the surroundings are looked at.
static constexpr double ContextSeconds = 5;

namespace {

struct ReasonText {
  const char *m_Reason;
  const char *m_Text;
};

/// By the reason of the line that ended the request.
const ReasonText ReasonTexts[] = {
    {"complete", "the caller has a target's whole answer"},
    {"caller-gone", "the caller left before its answer was complete; what ran "
                    "at a target was cancelled"},
    {"no-target",
     "not run: until its time to wait was over every target of the "
     "pool was full, tried or failing; compare places and "
     "running_* in the sent lines of that instant"},
    {"targets-closed",
     "not run: the targets of the pool that were left took nothing from this "
     "instance at that time, by a limit or a rest that they asked for; see the "
     "target-terms lines before"},
    {"target-refused", "not run: the target said that it is full or leaving, "
                       "and the retry budget or the targets were used up"},
    {"target-replaced", "not run: another target has that address now"},
    {"target-failed", "it ran, and the target itself answered with a failure"},
    {"target-broke", "it may have run: the connection ended without a whole "
                     "answer, and the route does not let it run again"},
    {"stream-cut", "it ran in part: the target broke its stream off"},
    {"connect-failed", "the last target could not be connected to"},
    {"unsigned-answer",
     "the answer bore no signature, so it was not passed on"},
    {"resume-refused", "no other target took the stream up"},
    {"time-over", "its time was over; it ran if it was sent"},
    {"quarantined",
     "three targets ended under requests of that content (503: this one did "
     "not run; 502: it did); see yardrill quarantine list"},
    {"over-quota", "not run: its client account is beyond its quota"},
    {"unknown-key", "not run: no account of the configuration in force has "
                    "that key"},
    {"no-route", "not run: the configuration in force has no such route"},
    {"no-configuration", "not run: the instance had no configuration yet"},
    {"stopping", "not run: the instance was about to end"},
};

const char *describeReason(const std::string &Reason) {
  for (const ReasonText &Each : ReasonTexts)
    if (Reason == Each.m_Reason)
      return Each.m_Text;
  return "no explanation for this reason";
}

/// Seconds of the day; logs of one request do not span midnight twice.
double secondsOfDay(const std::string &Time) {
  int Hours = 0;
  int Minutes = 0;
  double Seconds = 0;
  std::size_t At = Time.find('T');
  if (At == std::string::npos || std::sscanf(Time.c_str() + At + 1, "%d:%d:%lf",
                                             &Hours, &Minutes, &Seconds) != 3)
    return 0;
  return Hours * 3600 + Minutes * 60 + Seconds;
}

std::string describe(const LogEntry &Entry) {
  auto Field = [&Entry](const char *Name) { return Entry.field(Name); };
  const std::string &Event = Entry.m_Event;
  if (Event == "request-sent")
    return "sent to " + Field("target") + ", try " + Field("try") + ", after " +
           Field("waited_us") + " us; there ran " + Field("running_own") +
           " of ours and " + Field("running_others") + " of others in " +
           Field("places") + " places; slowness " + Field("slowness") +
           ", failure share " + Field("failure_share") + "; by configuration " +
           Field("configuration") + " and store revision " +
           Field("store_revision");
  if (Event == "request-finished" || Event == "request-refused" ||
      Event == "request-broken-off") {
    std::string Out = Event.substr(sizeof "request-" - 1) + ": status " +
                      Field("status") + ", " + Field("reason") + ", after " +
                      Field("tries") + " tries and " + Field("total_us") +
                      " us";
    if (!Field("first_event_us").empty())
      Out += "; first event after " + Field("first_event_us") +
             " us, longest pause " + Field("longest_pause_us") + " us";
    return Out;
  }
  std::string Out = Event;
  for (const auto &[Key, Value] : Entry.m_Fields)
    if (Key != "request" && Key != "level")
      Out += " " + Key + "=" + Value;
  return Out;
}

} // namespace

void RequestTimeline::add(std::istream &Log, const std::string &Source) {
  std::string Name = Source;
  std::string Line;
  while (std::getline(Log, Line)) {
    auto Entry = core::parseLogLine(Line);
    if (!Entry)
      continue;
    if (!Entry->m_Source.empty())
      Name = Entry->m_Source;
    else if (Entry->m_Event == "instance-started")
      Name = Entry->field("instance");
    if (Entry->field("request") == m_Request)
      m_RequestEntries.push_back({Name, std::move(*Entry)});
    else if (contextEvents().count(Entry->m_Event) != 0)
      m_ContextEntries.push_back({Name, std::move(*Entry)});
  }
}

void RequestTimeline::print(std::ostream &Out) const {
  std::vector<TimelineEntry> Steps = m_RequestEntries;
  std::stable_sort(Steps.begin(), Steps.end(),
                   [](const TimelineEntry &A, const TimelineEntry &B) {
                     return A.m_Entry.m_Time < B.m_Entry.m_Time;
                   });
  double First = secondsOfDay(Steps.front().m_Entry.m_Time);
  for (const TimelineEntry &Each : Steps) {
    char Offset[32];
    std::snprintf(Offset, sizeof Offset, "+%.3f s",
                  secondsOfDay(Each.m_Entry.m_Time) - First);
    Out << Offset << "  " << Each.m_Source << "  " << describe(Each.m_Entry)
        << '\n';
  }
  std::string Reason = Steps.back().m_Entry.field("reason");
  bool HasEnded = Steps.back().m_Entry.m_Event.rfind("request-", 0) == 0 &&
                  Steps.back().m_Entry.m_Event != "request-sent";
  Out << (HasEnded ? describeReason(Reason)
                   : "no line tells its end: the instance ended, or its lines "
                     "were dropped")
      << '\n';
  printContext(Out);
}

void RequestTimeline::printContext(std::ostream &Out) const {
  std::set<std::string> Targets;
  std::set<std::string> Sources;
  std::string Content;
  for (const TimelineEntry &Each : m_RequestEntries) {
    if (Content.empty())
      Content = Each.m_Entry.field("content");
    Targets.insert(Each.m_Entry.field("target"));
    Sources.insert(Each.m_Source);
  }
  double End = secondsOfDay(m_RequestEntries.back().m_Entry.m_Time);
  std::map<std::string, std::size_t> Counts;
  for (const TimelineEntry &Each : m_ContextEntries) {
    double SecondsBefore = End - secondsOfDay(Each.m_Entry.m_Time);
    std::string Target = Each.m_Entry.field("target");
    bool IsRelated = Target.empty() ? Sources.count(Each.m_Source) != 0
                                    : Targets.count(Target) != 0;
    // What was seen of its content counts whenever and wherever it was.
    std::string Seen = Each.m_Entry.field("content");
    if (!Seen.empty() && Seen == Content &&
        Each.m_Entry.m_Event != "target-broke") {
      Out << Each.m_Entry.m_Event << " under its content, at " << Each.m_Source
          << (Target.empty() ? "" : ": " + Target) << '\n';
      continue;
    }
    if (SecondsBefore < 0 || SecondsBefore > ContextSeconds || !IsRelated)
      continue;
    std::string What = Each.m_Entry.m_Event;
    What += Target.empty() ? " at " + Each.m_Source : " of " + Target;
    ++Counts[What];
  }
  for (const auto &[What, Count] : Counts)
    Out << "in the " << ContextSeconds << " s before: " << What << ", " << Count
        << " times\n";
}

} // namespace yardrill::program
