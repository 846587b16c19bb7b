//===-- ClaimServiceTest.cpp - Claims with lost and failed store calls ----===//
#include "LibInstance/ClaimService.h"

#include "EmptyStore.h"
#include "LibCore/Error.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace yardrill;
using namespace yardrill::decision;
using core::Error;
using core::ErrorKind;
using instance::ClaimService;

namespace {

enum class WriteFailure {
  None,
  Refused,        ///< The call fails, and nothing is written.
  LostAfterWrite, ///< The write takes effect, but its response is lost.
  LostBeforeWrite ///< The request is lost: no write and no response.
};

/// Store in memory whose next write can be made to fail.
class MockStore final : public tests::EmptyStore {
public:
  std::map<std::string, std::string> m_Entries;
  WriteFailure m_NextWrite = WriteFailure::None;
  bool m_AreReadsFailing = false;
  int m_Grants = 0;

  std::optional<platform::Entry> read(const std::string &Key,
                                      platform::CallClass,
                                      boost::asio::yield_context) override {
    if (m_AreReadsFailing)
      throw Error(ErrorKind::Unavailable, "down");
    auto Found = m_Entries.find(Key);
    if (Found == m_Entries.end())
      return std::nullopt;
    return platform::Entry{Key, Found->second, platform::Revision(1)};
  }
  platform::SwapResult compareAndSwap(const platform::CompareAndSwap &Swap,
                                      platform::CallClass,
                                      boost::asio::yield_context) override {
    WriteFailure Now = m_NextWrite;
    m_NextWrite = WriteFailure::None;
    if (Now == WriteFailure::Refused)
      throw Error(ErrorKind::Unavailable, "refused");
    if (Now == WriteFailure::LostBeforeWrite)
      throw Error(ErrorKind::OutcomeUnknown, "lost");
    platform::SwapResult Out;
    auto [Position, IsNew] =
        m_Entries.emplace(Swap.m_Key, Swap.m_Puts.front().m_Value);
    Out.m_IsSwapped = IsNew;
    if (!IsNew)
      Out.m_Current =
          platform::Entry{Swap.m_Key, Position->second, platform::Revision(1)};
    if (Now == WriteFailure::LostAfterWrite)
      throw Error(ErrorKind::OutcomeUnknown, "lost");
    return Out;
  }
  platform::LeaseId grantLease(std::chrono::seconds, platform::CallClass,
                               boost::asio::yield_context) override {
    return platform::LeaseId(++m_Grants);
  }
};

} // namespace

class ClaimServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimServiceTest);
  CPPUNIT_TEST(testWonAndHeld);
  CPPUNIT_TEST(testLostAfterWriteIsWon);
  CPPUNIT_TEST(testLostBeforeWriteMayTakeEffect);
  CPPUNIT_TEST(testUnconfirmedWriteMayTakeEffect);
  CPPUNIT_TEST(testRejectedWriteDoesNotTakeEffect);
  CPPUNIT_TEST(testUnreadableClaimIsUnavailable);
  CPPUNIT_TEST(testLeaseIsShared);
  CPPUNIT_TEST_SUITE_END();

  MockStore m_Store;

  static InstanceRef owner(std::uint64_t Incarnation) {
    return {core::IncarnationId(Incarnation), {"127.0.0.1", 8082}};
  }

  ClaimCompleted claim(std::uint64_t By, std::uint64_t Request,
                       const std::string &Identity = "key") {
    boost::asio::io_context Context;
    ClaimService Service(m_Store, owner(By), std::chrono::minutes(10));
    ClaimCompleted Out;
    boost::asio::spawn(
        Context,
        [&](boost::asio::yield_context Yield) {
          Out = Service.claim(Claim{core::RequestId(Request), Identity}, Yield);
        },
        boost::asio::detached);
    Context.run();
    return Out;
  }

public:
  void testWonAndHeld() {
    CPPUNIT_ASSERT(claim(1, 5).m_Outcome == ClaimOutcome::Won);
    ClaimCompleted Second = claim(2, 5);
    CPPUNIT_ASSERT(Second.m_Outcome == ClaimOutcome::Held);
    CPPUNIT_ASSERT(Second.m_Owner == owner(1));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(8082), Second.m_Owner.m_Peer.m_Port);
    // Another request of the same instance does not hold the claim.
    CPPUNIT_ASSERT(claim(1, 6).m_Outcome == ClaimOutcome::Held);
  }

  void testLostAfterWriteIsWon() {
    m_Store.m_NextWrite = WriteFailure::LostAfterWrite;
    CPPUNIT_ASSERT(claim(1, 5).m_Outcome == ClaimOutcome::Won);
  }

  void testLostBeforeWriteMayTakeEffect() {
    m_Store.m_NextWrite = WriteFailure::LostBeforeWrite;
    ClaimCompleted Out = claim(1, 5);
    CPPUNIT_ASSERT(Out.m_Outcome == ClaimOutcome::Unavailable);
    CPPUNIT_ASSERT(Out.m_MayTakeEffect);
  }

  void testUnconfirmedWriteMayTakeEffect() {
    m_Store.m_NextWrite = WriteFailure::LostAfterWrite;
    m_Store.m_AreReadsFailing = true;
    ClaimCompleted Out = claim(1, 5);
    CPPUNIT_ASSERT(Out.m_Outcome == ClaimOutcome::Unavailable);
    CPPUNIT_ASSERT(Out.m_MayTakeEffect);
  }

  void testRejectedWriteDoesNotTakeEffect() {
    m_Store.m_NextWrite = WriteFailure::Refused;
    ClaimCompleted Out = claim(1, 5);
    CPPUNIT_ASSERT(Out.m_Outcome == ClaimOutcome::Unavailable);
    CPPUNIT_ASSERT(!Out.m_MayTakeEffect);
  }

  void testUnreadableClaimIsUnavailable() {
    claim(1, 5);
    m_Store.m_Entries.begin()->second = "not JSON";
    CPPUNIT_ASSERT(claim(2, 5).m_Outcome == ClaimOutcome::Unavailable);
  }

  void testLeaseIsShared() {
    boost::asio::io_context Context;
    ClaimService Service(m_Store, owner(1), std::chrono::minutes(10));
    int Won = 0;
    for (std::uint64_t I = 1; I <= 20; ++I)
      boost::asio::spawn(
          Context,
          [&, I](boost::asio::yield_context Yield) {
            Claim ToClaim{core::RequestId(I), "key " + std::to_string(I)};
            Won += Service.claim(ToClaim, Yield).m_Outcome == ClaimOutcome::Won;
          },
          boost::asio::detached);
    Context.run();
    CPPUNIT_ASSERT_EQUAL(20, Won);
    CPPUNIT_ASSERT_EQUAL(1, m_Store.m_Grants);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimServiceTest);
