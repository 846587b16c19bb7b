#include "SpreadFleet.h"

#include "Process.h"
#include "Sleep.h"

#include <algorithm>
#include <boost/asio/detached.hpp>

namespace yardrill::tests {

namespace asio = boost::asio;
using platform::Entry;
using platform::Revision;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// As often as a real instance looks at its peers' reports.
static constexpr milliseconds BeatPeriod{40};
static constexpr milliseconds RunStep{5};
static constexpr std::size_t ChangesKept = 4096;
static const char SentCounter[] = "\nyardrill_peer_transfer_bytes_sent_total ";

static config::Endpoint freeEndpoint() {
  return {"127.0.0.1", static_cast<std::uint16_t>(freePort())};
}

SpreadMember::SpreadMember(asio::io_context &Context)
    : m_Own(freeEndpoint()), m_Linked(freeEndpoint()), m_Mirror(ChangesKept),
      m_Fetcher(Context, m_Own, m_Codec, m_Mirror, m_Metrics, SmallLinkRate),
      m_Link(Context, m_Linked.m_Port, m_Own.m_Port) {
  m_Mirror.subscribe([this](const Entry &Change) {
    m_Told[Change.m_Key] = Change.m_ModRevision;
  });
}

gateway::FetchCandidate SpreadMember::asFetchCandidate() const {
  return {m_Linked, m_Mirror.revision(), m_Mirror.completeRevision()};
}

bool SpreadMember::holds(const std::string &Key, Revision At) const {
  auto Found = m_Told.find(Key);
  return Found != m_Told.end() && !(Found->second < At);
}

std::size_t SpreadMember::bytesSent() const {
  std::string Text = m_Metrics.exposition();
  std::size_t At = Text.find(SentCounter);
  if (At == std::string::npos)
    return 0;
  return std::stoul(Text.substr(At + sizeof SentCounter - 1));
}

SpreadMember &SpreadFleet::add(Revision At, const std::vector<Entry> &Content) {
  m_Members.push_back(std::make_unique<SpreadMember>(m_Context));
  m_Members.back()->mirror().replaceAll(At, Content);
  return *m_Members.back();
}

void SpreadFleet::start() {
  asio::spawn(
      m_Context, [this](asio::yield_context Yield) { beat(Yield); },
      asio::detached);
}

void SpreadFleet::beat(asio::yield_context Yield) {
  for (;; sleepFor(m_Context, BeatPeriod, Yield))
    for (const auto &Each : m_Members)
      considerPeers(*Each);
}

void SpreadFleet::considerPeers(SpreadMember &Which) {
  const platform::StoreMirror &Own = Which.mirror();
  std::vector<gateway::FetchCandidate> Ahead;
  for (const auto &Other : m_Members)
    if (Own.revision() < Other->mirror().revision() ||
        Own.completeRevision() < Other->mirror().completeRevision())
      Ahead.push_back(Other->asFetchCandidate());
  Which.fetcher().fetchIfDue(Ahead, false, core::steadyNow());
}

bool SpreadFleet::doAllHold(const std::string &Key, Revision At) const {
  return std::all_of(m_Members.begin(), m_Members.end(),
                     [&](const auto &Each) { return Each->holds(Key, At); });
}

milliseconds SpreadFleet::runUntil(const std::function<bool()> &Condition,
                                   milliseconds Most) {
  auto Begin = Clock::now();
  milliseconds Passed{0};
  while (!Condition() && Passed < Most) {
    m_Context.run_for(RunStep);
    Passed = std::chrono::duration_cast<milliseconds>(Clock::now() - Begin);
  }
  return std::min(Passed, Most);
}

} // namespace yardrill::tests
