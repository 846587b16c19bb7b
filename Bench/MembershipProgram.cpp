//===-- MembershipProgram.cpp - What knowing the others costs an instance -===//
//
// One instance of a fleet takes the reports of the others, as often as they
// come at rest, and looks at what it knows as often as it does. Processor time
// of one simulated second, best of several.
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
static constexpr milliseconds Beat{40};
static constexpr int BeatsInSecond = 25;
/// Reports a second: of each near peer; and of all far ones, each every 2.5 s.
static constexpr std::size_t NearReports = 10;
static constexpr double FarPeriods = 2.5;

namespace {

class Instance {
public:
  explicit Instance(std::size_t Fleet) : m_Fleet(Fleet), m_Table(address(0)) {
    for (std::size_t I = 1; I < m_Fleet; ++I)
      report(I, true);
    recut();
  }

  void playSecond() {
    std::size_t Far = m_Fleet - 1 - m_NearIndexes.size();
    auto FarInBeat = static_cast<std::size_t>(
        static_cast<double>(Far) / FarPeriods / BeatsInSecond + 1);
    std::size_t NearInBeat = m_NearIndexes.size() * NearReports / BeatsInSecond;
    for (int I = 0; I < BeatsInSecond; ++I) {
      m_Now += Beat;
      for (std::size_t J = 0; J < FarInBeat; ++J)
        report(1 + m_Next++ % (m_Fleet - 1), true);
      for (std::size_t J = 0; J < NearInBeat; ++J)
        report(m_NearIndexes[m_Next++ % m_NearIndexes.size()], false);
      m_Table.expire(m_Now);
      m_Sum += m_Table.groupPeers().size() + m_Table.followersBefore();
      if (I % 6 == 0)
        recut();
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

  void recut() {
    if (!m_Table.consumeFleetChange())
      return;
    routing::FleetSubset::Fleet All;
    for (std::size_t I = 0; I < m_Fleet; ++I)
      All[address(I)] = core::DataHallName();
    routing::FleetSubset Share(address(0), All);
    m_Table.setSubset(Share);
    for (std::size_t I = 1; I < m_Fleet; ++I)
      if (Share.isGroupPeer(address(I)))
        m_NearIndexes.push_back(I);
  }

  std::size_t m_Fleet;
  gateway::PeerTable m_Table;
  core::TimePoint m_Now{std::chrono::hours(1)};
  std::vector<std::size_t> m_NearIndexes;
  std::uint64_t m_Sequence = 0;
  std::size_t m_Next = 0;
  std::size_t m_Sum = 0;
};

} // namespace

int main() {
  for (std::size_t Fleet : FleetSizes) {
    Instance What(Fleet);
    auto Best = Clock::duration::max();
    for (int Round = 0; Round < Rounds; ++Round) {
      auto Begin = Clock::now();
      What.playSecond();
      Best = std::min(Best, Clock::now() - Begin);
    }
    std::cout
        << "instances=" << Fleet << " us_a_second="
        << std::chrono::duration_cast<std::chrono::microseconds>(Best).count()
        << "\n";
  }
}
