//===-- MembershipProgram.cpp - Time spent on the peer table --------------===//
//
// Feeds one instance the load reports of an idle fleet and reads its peer table
// at the usual rate. Prints the time spent on a simulated second, the best of
// several rounds.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/PeerTable.h"

#include <algorithm>
#include <chrono>
#include <iostream>

using namespace yardrill;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

static const std::size_t FleetSizes[] = {24, 89, 295, 440};
static constexpr int Rounds = 7;
static constexpr milliseconds TickPeriod{40};
static constexpr int TicksPerSecond = 25;
/// Each group peer reports 10 times per second, each other peer every 2.5 s.
static constexpr std::size_t GroupPeerReportsPerSecond = 10;
static constexpr double OtherPeerReportSeconds = 2.5;

namespace {

class Instance {
public:
  explicit Instance(std::size_t Fleet) : m_Fleet(Fleet), m_Table(address(0)) {
    for (std::size_t I = 1; I < m_Fleet; ++I)
      report(I, true);
    updateSubset();
  }

  void simulateSecond() {
    std::size_t OtherPeers = m_Fleet - 1 - m_GroupPeerIndexes.size();
    auto OtherPeerReportsPerTick =
        static_cast<std::size_t>(static_cast<double>(OtherPeers) /
                                     OtherPeerReportSeconds / TicksPerSecond +
                                 1);
    std::size_t GroupPeerReportsPerTick =
        m_GroupPeerIndexes.size() * GroupPeerReportsPerSecond / TicksPerSecond;
    for (int I = 0; I < TicksPerSecond; ++I) {
      m_Now += TickPeriod;
      for (std::size_t J = 0; J < OtherPeerReportsPerTick; ++J)
        report(1 + m_NextReporter++ % (m_Fleet - 1), true);
      for (std::size_t J = 0; J < GroupPeerReportsPerTick; ++J)
        report(m_GroupPeerIndexes[m_NextReporter++ % m_GroupPeerIndexes.size()],
               false);
      m_Table.expire(m_Now);
      m_Sum += m_Table.groupPeers().size() + m_Table.followersBefore();
      if (I % 6 == 0)
        updateSubset();
    }
  }

private:
  static config::Endpoint address(std::size_t Index) {
    return {"10.1." + std::to_string(Index / 200) + "." +
                std::to_string(Index % 200 + 10),
            7600};
  }

  void report(std::size_t From, bool IsFull) {
    peer::PeerMessage Message;
    Message.m_From = {core::IncarnationId(From), address(From)};
    Message.m_Sequence = ++m_Sequence;
    peer::LoadReport Report;
    Report.m_IsFull = IsFull;
    Report.m_IsStoreConnected = From % 50 == 0;
    m_Table.handle(Message, Report, m_Now, 0);
  }

  void updateSubset() {
    if (!m_Table.consumeFleetChange())
      return;
    routing::FleetSubset::Fleet All;
    for (std::size_t I = 0; I < m_Fleet; ++I)
      All[address(I)] = core::DataHallName();
    routing::FleetSubset Subset(address(0), All);
    m_Table.setSubset(Subset);
    for (std::size_t I = 1; I < m_Fleet; ++I)
      if (Subset.isGroupPeer(address(I)))
        m_GroupPeerIndexes.push_back(I);
  }

  std::size_t m_Fleet;
  gateway::PeerTable m_Table;
  core::TimePoint m_Now{std::chrono::hours(1)};
  std::vector<std::size_t> m_GroupPeerIndexes;
  std::uint64_t m_Sequence = 0;
  std::size_t m_NextReporter = 0;
  std::size_t m_Sum = 0;
};

} // namespace

int main() {
  for (std::size_t Fleet : FleetSizes) {
    Instance Local(Fleet);
    auto Best = Clock::duration::max();
    for (int Round = 0; Round < Rounds; ++Round) {
      auto Begin = Clock::now();
      Local.simulateSecond();
      Best = std::min(Best, Clock::now() - Begin);
    }
    std::cout
        << "instances=" << Fleet << " us_a_second="
        << std::chrono::duration_cast<std::chrono::microseconds>(Best).count()
        << "\n";
  }
}
