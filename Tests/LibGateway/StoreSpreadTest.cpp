//===-- StoreSpreadTest.cpp - How what the store said reaches every instance =//
//
// What users saw: a confirmed configuration was not in force everywhere in
// time, and requests still went to targets that had said that they leave.
//
// Order of events: the configuration grew by 1,400 routes to half a megabyte.
// Of 89 instances six follow the store; they had it within a second, and then
// sent it whole to the 83 others at the same time. Targets that left meanwhile
// were not heard of until that transfer ended.
//
// Cause: each change costs its source the whole value once for every instance,
// over one link, and an instance hears nothing else while it receives.
// Evidence: for six seconds the six sent 1.15 MB/s each, all that their links
// bear, the others next to nothing; processor time stayed below 5 % of a core;
// the revision that an instance reported stood still until its transfer ended.
//
// Here instances share one process. Each answers its peers over a link as slow
// as that of the smallest machines.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/StoreFetcher.h"

#include "LoopbackProxy.h"
#include "Process.h"
#include "Sleep.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <memory>
#include <random>

using namespace yardrill;
using namespace yardrill::tests;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using namespace yardrill::gateway;
using platform::Entry;
using platform::Revision;

namespace {

/// 10 Mbit/s, the smallest machines' link.
constexpr double LinkRate = 1.25e6;
/// Configurations of 2,840 routes have this size.
constexpr std::size_t LargeBytes = 520000;
constexpr std::chrono::milliseconds BeatPeriod{40};
constexpr std::size_t ChangesKept = 4096;
const char ConfigurationKey[] = "configuration";
const char TargetKey[] = "target";

/// Text that no compression makes much smaller.
std::string randomText(std::size_t Size, unsigned Seed) {
  static const char Letters[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::mt19937 Random(Seed);
  std::string Out(Size, ' ');
  for (char &Each : Out)
    Each = Letters[Random() % 64];
  return Out;
}

Entry put(const char *Key, std::string Value, std::int64_t At) {
  return {Key, std::move(Value), Revision(At), false};
}

/// One instance, as far as it hears of the store.
class Member {
public:
  explicit Member(asio::io_context &Context)
      : m_Fetcher(Context, m_Own, m_Codec, m_Mirror, m_Metrics, LinkRate),
        m_Link(Context, m_Linked.m_Port, m_Own.m_Port) {
    m_Mirror.subscribe([this](const Entry &Change) {
      m_Held[Change.m_Key] = Change.m_Modified;
    });
  }

  StoreHolder asHolder() const {
    return {m_Linked, m_Mirror.revision(), m_Mirror.wholeRevision()};
  }
  bool holds(const char *Key, std::int64_t At) const {
    auto Found = m_Held.find(Key);
    return Found != m_Held.end() && !(Found->second < Revision(At));
  }
  std::size_t bytesSent() const;

  config::Endpoint m_Own{"127.0.0.1", static_cast<std::uint16_t>(freePort())};
  /// Where the others reach it.
  config::Endpoint m_Linked{"127.0.0.1",
                            static_cast<std::uint16_t>(freePort())};
  peer::PeerCodec m_Codec{"key"};
  metrics::MetricsRegistry m_Metrics;
  platform::StoreMirror m_Mirror{ChangesKept};
  StoreFetcher m_Fetcher;
  LoopbackProxy m_Link;
  std::map<std::string, Revision> m_Held; ///< As its subscribers were told.
};

std::size_t Member::bytesSent() const {
  static const std::string Name = "\nyardrill_peer_transfer_bytes_sent_total ";
  std::string Text = m_Metrics.exposition();
  std::size_t At = Text.find(Name);
  return At == std::string::npos ? 0
                                 : std::stoul(Text.substr(At + Name.size()));
}

} // namespace

class StoreSpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreSpreadTest);
  CPPUNIT_TEST(testLargeValueReachesAllInTime);
  CPPUNIT_TEST(testSmallNewsPassesALargeValue);
  CPPUNIT_TEST(testSmallChangeOfALargeValueCostsLittle);
  CPPUNIT_TEST(testSupersededValuesAreNotSent);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context m_Context{1};
  std::vector<std::unique_ptr<Member>> m_Members;

  /// All begin with the same content, at revision 10.
  void start(std::size_t Count, const std::string &Configuration) {
    for (std::size_t I = 0; I < Count; ++I) {
      m_Members.push_back(std::make_unique<Member>(m_Context));
      m_Members.back()->m_Mirror.replaceAll(
          Revision(10), {put(ConfigurationKey, Configuration, 9),
                         put(TargetKey, "ready", 10)});
    }
    asio::spawn(
        m_Context, [this](asio::yield_context Yield) { beat(Yield); },
        asio::detached);
  }
  Member &member(std::size_t Index) { return *m_Members.at(Index); }

  /// What the reports of the peers bring about.
  void beat(asio::yield_context Yield) {
    for (;; sleepFor(m_Context, BeatPeriod, Yield))
      for (const auto &Each : m_Members)
        considerPeers(*Each);
  }
  void considerPeers(Member &Which) {
    std::vector<StoreHolder> Ahead;
    for (const auto &Other : m_Members)
      if (Which.m_Mirror.revision() < Other->m_Mirror.revision() ||
          Which.m_Mirror.wholeRevision() < Other->m_Mirror.wholeRevision())
        Ahead.push_back(Other->asHolder());
    Which.m_Fetcher.consider(Ahead, false, core::steadyNow());
  }

  /// \returns how long it took, or \p Most if it did not happen in that time.
  std::chrono::milliseconds timeUntil(const std::function<bool()> &Condition,
                                      std::chrono::milliseconds Most) {
    auto Begin = std::chrono::steady_clock::now();
    auto Passed = 0ms;
    while (!Condition() && Passed < Most) {
      m_Context.run_for(5ms);
      Passed = std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - Begin);
    }
    return std::min(Passed, Most);
  }
  bool doAllHold(const char *Key, std::int64_t At) const {
    return std::all_of(m_Members.begin(), m_Members.end(),
                       [&](const auto &Each) { return Each->holds(Key, At); });
  }
  static void assertShorter(std::chrono::milliseconds Took,
                            std::chrono::milliseconds Bound) {
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Took.count()) + " ms, bound " +
                               std::to_string(Bound.count()) + " ms",
                           Took < Bound);
  }
  static void assertFewer(std::size_t Bytes, std::size_t Bound) {
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Bytes) + " bytes, bound " +
                               std::to_string(Bound),
                           Bytes < Bound);
  }

public:
  /// One source and 23 others: 12 MB over one link would take 9.6 s.
  void testLargeValueReachesAllInTime() {
    start(24, "");
    for (auto &Each : m_Members)
      Each->m_Link.limitAnswers(LinkRate);
    member(0).m_Mirror.apply(
        Revision(11), {put(ConfigurationKey, randomText(LargeBytes, 1), 11)});
    assertShorter(
        timeUntil([this] { return doAllHold(ConfigurationKey, 11); }, 12s),
        5000ms);
  }

  /// The large value alone takes five seconds.
  void testSmallNewsPassesALargeValue() {
    start(2, "");
    member(0).m_Link.limitAnswers(LargeBytes / 5.0);
    member(0).m_Mirror.apply(
        Revision(11), {put(ConfigurationKey, randomText(LargeBytes, 2), 11)});
    m_Context.run_for(300ms);
    member(0).m_Mirror.apply(Revision(12), {put(TargetKey, "leaving", 12)});
    assertShorter(timeUntil([this] { return doAllHold(TargetKey, 12); }, 8s),
                  1000ms);
    CPPUNIT_ASSERT(!doAllHold(ConfigurationKey, 11));
    assertShorter(
        timeUntil([this] { return doAllHold(ConfigurationKey, 11); }, 12s),
        10000ms);
  }

  void testSmallChangeOfALargeValueCostsLittle() {
    std::string Text = randomText(LargeBytes, 3);
    start(2, Text);
    Text.replace(LargeBytes / 2, 4, "5000");
    Text.insert(LargeBytes / 3, "one more");
    member(0).m_Mirror.apply(Revision(11), {put(ConfigurationKey, Text, 11)});
    assertShorter(
        timeUntil([this] { return doAllHold(ConfigurationKey, 11); }, 5s),
        2000ms);
    assertFewer(member(0).bytesSent(), 4096);
  }

  void testSupersededValuesAreNotSent() {
    start(1, "");
    for (int I = 0; I < 20; ++I)
      member(0).m_Mirror.apply(
          Revision(11 + I),
          {put(ConfigurationKey, randomText(LargeBytes, 4), 11 + I)});
    m_Members.push_back(std::make_unique<Member>(m_Context));
    member(1).m_Mirror.replaceAll(Revision(10), {put(ConfigurationKey, "", 9)});
    assertShorter(
        timeUntil([this] { return doAllHold(ConfigurationKey, 30); }, 5s),
        4000ms);
    assertFewer(member(0).bytesSent(), LargeBytes * 3 / 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreSpreadTest);
