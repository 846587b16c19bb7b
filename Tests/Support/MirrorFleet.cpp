#include "MirrorFleet.h"

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

/// Period at which an instance evaluates its peers' reports, as in PeerService.
static constexpr milliseconds FetchPeriod{40};
static constexpr milliseconds RunStep{5};
static constexpr std::size_t MaxChanges = 4096;
static const char SentCounter[] = "\nyardrill_peer_transfer_bytes_sent_total ";

static config::Endpoint freeEndpoint() {
  return {"127.0.0.1", static_cast<std::uint16_t>(freePort())};
}

MirrorInstance::MirrorInstance(asio::io_context &Context)
    : m_Endpoint(freeEndpoint()), m_ProxyEndpoint(freeEndpoint()),
      m_Mirror(MaxChanges), m_Fetcher(Context, m_Endpoint, m_Codec, m_Mirror,
                                      m_Metrics, SmallLinkRate),
      m_Link(Context, m_ProxyEndpoint.m_Port, m_Endpoint.m_Port) {
  m_Mirror.subscribe([this](const Entry &Change) {
    m_Delivered[Change.m_Key] = Change.m_ModRevision;
  });
}

gateway::FetchCandidate MirrorInstance::asFetchCandidate() const {
  return {m_ProxyEndpoint, m_Mirror.revision(), m_Mirror.completeRevision()};
}

bool MirrorInstance::hasDelivered(const std::string &Key, Revision At) const {
  auto Found = m_Delivered.find(Key);
  return Found != m_Delivered.end() && !(Found->second < At);
}

std::size_t MirrorInstance::bytesSent() const {
  std::string Text = m_Metrics.exposition();
  std::size_t At = Text.find(SentCounter);
  if (At == std::string::npos)
    return 0;
  return std::stoul(Text.substr(At + sizeof SentCounter - 1));
}

MirrorInstance &MirrorFleet::add(Revision At,
                                 const std::vector<Entry> &Content) {
  m_Instances.push_back(std::make_unique<MirrorInstance>(m_Context));
  m_Instances.back()->mirror().replaceAll(At, Content);
  return *m_Instances.back();
}

void MirrorFleet::start() {
  asio::spawn(
      m_Context,
      [this](asio::yield_context Yield) { fetchPeriodically(Yield); },
      asio::detached);
}

void MirrorFleet::fetchPeriodically(asio::yield_context Yield) {
  for (;; sleepFor(m_Context, FetchPeriod, Yield))
    for (const auto &Each : m_Instances)
      fetchFromPeers(*Each);
}

void MirrorFleet::fetchFromPeers(MirrorInstance &Receiver) {
  const platform::StoreMirror &Own = Receiver.mirror();
  std::vector<gateway::FetchCandidate> Ahead;
  for (const auto &Other : m_Instances)
    if (Own.revision() < Other->mirror().revision() ||
        Own.completeRevision() < Other->mirror().completeRevision())
      Ahead.push_back(Other->asFetchCandidate());
  Receiver.fetcher().fetchIfDue(Ahead, false, core::steadyNow());
}

bool MirrorFleet::haveAllDelivered(const std::string &Key, Revision At) const {
  return std::all_of(
      m_Instances.begin(), m_Instances.end(),
      [&](const auto &Each) { return Each->hasDelivered(Key, At); });
}

milliseconds MirrorFleet::runUntil(const std::function<bool()> &Condition,
                                   milliseconds Timeout) {
  auto Begin = Clock::now();
  milliseconds Passed{0};
  while (!Condition() && Passed < Timeout) {
    m_Context.run_for(RunStep);
    Passed = std::chrono::duration_cast<milliseconds>(Clock::now() - Begin);
  }
  return std::min(Passed, Timeout);
}

} // namespace yardrill::tests
