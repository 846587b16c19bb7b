#include "FaultPlan.h"

#include "Sleep.h"

#include <csignal>
#include <functional>
#include <random>

namespace yardrill::soak {

namespace asio = boost::asio;
using std::chrono::milliseconds;

static constexpr std::uint64_t LeastGapMs = 150;
static constexpr std::uint64_t GapSpreadMs = 900;
static constexpr std::uint64_t LeastLengthMs = 300;
static constexpr std::uint64_t LengthSpreadMs = 3000;
static constexpr double MisbehavingShare = 0.4;
static constexpr double MuteShare = 0.1;
static constexpr milliseconds StoreDelay{400};
static constexpr milliseconds IdleTime{100};
static constexpr double TiringShare = 0.5;
static constexpr std::uint64_t TermsGapMs = 1500;
/// Long enough for a whole window after the time in which all must know.
static constexpr std::uint64_t LeastTermsMs = 4000;
static constexpr std::uint64_t TermsSpreadMs = 8000;
/// Limits are tenths of a request a second.
static constexpr std::uint64_t MostLimitTenths = 60;

const char *toString(FaultKind Kind) {
  static const char *Names[] = {
      "kill-gateway",        "kill-all-gateways", "stop-gateway",
      "freeze-gateway",      "reload-gateway",    "store-link-delayed",
      "store-link-reset",    "store-link-silent", "store-link-one-way",
      "store-frozen",        "store-down",        "store-slow",
      "store-refuses",       "store-forgets",     "store-loses-answers",
      "target-link-delayed", "target-link-reset", "target-link-silent",
      "target-link-one-way", "target-idle-reset", "target-crashes",
      "target-leaves",       "target-fails",      "target-refuses",
      "target-breaks-off",   "target-is-mute",    "publish",
      "target-limits",       "target-tires",      "target-says-it-leaves"};
  static_assert(std::size(Names) == AllFaultKinds);
  return Names[static_cast<int>(Kind)];
}

std::vector<Fault> drawFaults(std::uint64_t Seed, milliseconds Length) {
  std::mt19937_64 Random(Seed);
  auto Draw = [&Random](std::uint64_t Least, std::uint64_t Spread) {
    return milliseconds(Least + Random() % Spread);
  };
  std::vector<Fault> Out;
  milliseconds At = Draw(LeastGapMs, GapSpreadMs);
  while (At < Length) {
    Fault Next;
    Next.m_At = At;
    Next.m_Length = std::min(Draw(LeastLengthMs, LengthSpreadMs), Length - At);
    Next.m_Kind = static_cast<FaultKind>(Random() % FaultKinds);
    Next.m_Which = Random();
    Out.push_back(Next);
    At += Draw(LeastGapMs, GapSpreadMs);
  }
  return Out;
}

std::vector<Fault> drawTerms(std::uint64_t Seed, milliseconds Length) {
  std::mt19937_64 Random(~Seed);
  std::vector<Fault> Out;
  for (milliseconds At(Random() % TermsGapMs); At < Length;
       At += milliseconds(TermsGapMs / 2 + Random() % TermsGapMs)) {
    Fault Next;
    Next.m_At = At;
    Next.m_Length = std::min(
        milliseconds(LeastTermsMs + Random() % TermsSpreadMs), Length - At);
    Next.m_Kind = static_cast<FaultKind>(
        FaultKinds + Random() % (AllFaultKinds - FaultKinds));
    Next.m_Which = Random();
    Out.push_back(Next);
  }
  return Out;
}

namespace {

/// One fault under way.
class Running {
public:
  Running(const Fault &What, Deployment &On, Ledger &Book,
          asio::io_context &Context, asio::yield_context Yield)
      : m_What(What), m_On(On), m_Book(Book), m_Context(Context),
        m_Yield(std::move(Yield)), m_Gateway(What.m_Which % On.gateways()),
        m_Index(What.m_Which % On.targets()) {}

  void run();

private:
  void pause() { tests::sleepFor(m_Context, m_What.m_Length, m_Yield); }
  void freezeGateway() {
    m_Book.processTrouble(m_Gateway, true);
    m_On.signalGateway(m_Gateway, SIGSTOP);
    pause();
    m_On.signalGateway(m_Gateway, SIGCONT);
    m_Book.processTrouble(m_Gateway, false);
  }
  void disturbStoreLink(tests::ProxyMode How, bool MustReset) {
    m_Book.pathTrouble(m_Gateway, true);
    tests::LoopbackProxy &Link = m_On.storeProxy(m_Gateway);
    Link.setMode(How);
    if (MustReset)
      Link.resetAll();
    pause();
    Link.setMode(tests::ProxyMode::PassThrough);
    m_Book.pathTrouble(m_Gateway, false);
  }
  void disturbStore(const boost::json::object &Begin,
                    const boost::json::object &End) {
    m_Book.storeTrouble(true);
    m_On.controlStore(Begin, m_Yield);
    pause();
    m_On.controlStore(End, m_Yield);
    m_Book.storeTrouble(false);
  }
  void freezeStore() {
    m_Book.storeTrouble(true);
    m_On.freezeStore(true);
    pause();
    m_On.freezeStore(false);
    m_Book.storeTrouble(false);
  }
  void disturbTargetLink(tests::ProxyMode How, bool MustReset) {
    SoakTarget &Which = m_On.target(m_Index);
    Which.setDisturbed(true);
    Which.proxy().setMode(How);
    if (MustReset)
      Which.proxy().resetAll();
    pause();
    Which.proxy().setMode(tests::ProxyMode::PassThrough);
    Which.setDisturbed(false);
  }
  void dropIdleConnections() {
    // Whatever is sent on them next is reset: any request may meet one.
    SoakTarget &Which = m_On.target(m_Index);
    Which.setDisturbed(true);
    Which.proxy().resetIdle(IdleTime);
    pause();
    Which.setDisturbed(false);
  }
  void misbehave(const Misbehaviour &How) {
    m_On.target(m_Index).setMisbehaviour(How);
    pause();
    m_On.target(m_Index).setMisbehaviour({});
  }

  void limit() {
    SoakTarget &Which = m_On.target(m_Index);
    Which.setLimit(static_cast<double>(m_What.m_Which % MostLimitTenths) / 10);
    pause();
    Which.setLimit(std::nullopt);
  }

  const Fault &m_What;
  Deployment &m_On;
  Ledger &m_Book;
  asio::io_context &m_Context;
  asio::yield_context m_Yield;
  std::size_t m_Gateway;
  std::size_t m_Index;
};

} // namespace

void Running::run() {
  switch (m_What.m_Kind) {
  case FaultKind::KillGateway:
    return m_On.killGateway(m_Gateway);
  case FaultKind::KillAllGateways:
    for (std::size_t I = 0; I < m_On.gateways(); ++I)
      m_On.killGateway(I);
    return;
  case FaultKind::StopGateway:
    return m_On.stopGateway(m_Gateway);
  case FaultKind::FreezeGateway:
    return freezeGateway();
  case FaultKind::ReloadGateway:
    return m_On.signalGateway(m_Gateway, SIGHUP);
  case FaultKind::StoreLinkDelayed:
    return disturbStoreLink(tests::ProxyMode::Delayed, false);
  case FaultKind::StoreLinkReset:
    return disturbStoreLink(tests::ProxyMode::Reset, true);
  case FaultKind::StoreLinkSilent:
    return disturbStoreLink(tests::ProxyMode::CutBoth, false);
  case FaultKind::StoreLinkOneWay:
    return disturbStoreLink(tests::ProxyMode::CutBackward, false);
  case FaultKind::StoreFrozen:
    return freezeStore();
  case FaultKind::StoreDown:
    return disturbStore({{"down", true}}, {{"down", false}});
  case FaultKind::StoreSlow:
    return disturbStore({{"slow_ms", StoreDelay.count()}}, {{"slow_ms", 0}});
  case FaultKind::StoreRefuses:
    return disturbStore({{"calls_per_second", 1}}, {{"calls_per_second", 0}});
  case FaultKind::StoreForgets:
    return disturbStore({{"forget_history", true}}, {});
  case FaultKind::StoreLosesAnswers:
    return disturbStore({{"lose_answers", 3}}, {{"lose_answers", 0}});
  case FaultKind::TargetLinkDelayed:
    return disturbTargetLink(tests::ProxyMode::Delayed, false);
  case FaultKind::TargetLinkReset:
    return disturbTargetLink(tests::ProxyMode::PassThrough, true);
  case FaultKind::TargetLinkSilent:
    return disturbTargetLink(tests::ProxyMode::CutBoth, false);
  case FaultKind::TargetLinkOneWay:
    return disturbTargetLink(tests::ProxyMode::CutBackward, false);
  case FaultKind::TargetIdleReset:
    return dropIdleConnections();
  case FaultKind::TargetCrashes:
    return m_On.crashTarget(m_Index, m_What.m_Length, m_Yield);
  case FaultKind::TargetLeaves:
    return m_On.replaceTarget(m_Index, m_Yield);
  case FaultKind::TargetFails:
    return misbehave({MisbehavingShare, 0, 0, 0});
  case FaultKind::TargetRefuses:
    return misbehave({0, MisbehavingShare, 0, 0});
  case FaultKind::TargetBreaksOff:
    return misbehave({0, 0, MisbehavingShare, 0});
  case FaultKind::TargetIsMute:
    return misbehave({0, 0, 0, MuteShare});
  case FaultKind::Publish:
    return m_On.publish(m_Yield);
  case FaultKind::TargetLimits:
    return limit();
  case FaultKind::TargetTires:
    return misbehave({0, 0, 0, 0, TiringShare});
  case FaultKind::TargetSaysItLeaves:
    m_On.target(m_Index).sayLeaving();
    pause();
    return m_On.crashTarget(m_Index, m_What.m_Length / 8, m_Yield);
  }
}

void runFault(const Fault &What, Deployment &On, Ledger &Book,
              asio::io_context &Context, asio::yield_context Yield) {
  Running(What, On, Book, Context, Yield).run();
}

} // namespace yardrill::soak
