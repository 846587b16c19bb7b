//===-- LateResponseTest.cpp - Responses to an earlier process ------------===//
//
// Guards against a response to a question of an instance before its restart
// that counts as the response to a question of the new process.
//
//===----------------------------------------------------------------------===//
#include "EmptyStore.h"
#include "LibGateway/StreamOriginService.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace yardrill;
using namespace yardrill::gateway;
using namespace yardrill::tests;
namespace asio = boost::asio;

class LateResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateResponseTest);
  CPPUNIT_TEST(testStreamOriginOfAnEarlierQuestion);
  CPPUNIT_TEST_SUITE_END();

  const config::Endpoint m_Self{"127.0.0.1", 1};
  const config::Endpoint m_Peer{"127.0.0.1", 2};
  asio::io_context m_Context{1};
  core::SteadyTimerService m_Timers{m_Context};
  EmptyStore m_Store;
  std::map<std::uint64_t, std::uint64_t> m_Queries; ///< Ids, by stream.

  /// Starts a process of the instance, which looks up a stream.
  std::unique_ptr<StreamOriginService>
  startAndLookUp(std::uint64_t Stream, std::optional<StreamOrigin> &Found) {
    StreamOriginHooks Hooks;
    Hooks.m_Send = [this](const std::vector<config::Endpoint> &,
                          const peer::PeerBody &Body) {
      if (const auto *Query = std::get_if<peer::StreamOriginQuery>(&Body))
        m_Queries[Query->m_KeyHigh] = Query->m_QueryId;
    };
    Hooks.m_OnlyVersion = [](const StreamRoute &) { return std::nullopt; };
    Hooks.m_IsUpToDate = [] { return true; };
    Hooks.m_ConfirmOnlyVersion =
        [](const StreamRoute &,
           const StreamOriginHooks::VersionCallback &Call) {
          Call(std::nullopt, core::steadyNow());
        };
    auto Out = std::make_unique<StreamOriginService>(
        m_Context, m_Timers, m_Store, m_Self, std::move(Hooks),
        [](const config::Endpoint &) { return false; });
    Out->setOthers({m_Peer});
    asio::spawn(
        m_Context,
        [Service = Out.get(), Stream, &Found](asio::yield_context Yield) {
          Found = Service->find({Stream, Stream}, {}, Yield);
        },
        asio::detached);
    m_Context.run_for(std::chrono::milliseconds(20));
    return Out;
  }
  peer::PeerMessage response(std::uint64_t Query, const std::string &Version) {
    return {{core::IncarnationId(7), m_Peer},
            1,
            0,
            peer::StreamOriginResponse{
                Query, peer::StreamOriginAnswer::Recorded, 1, Version}};
  }

public:
  void testStreamOriginOfAnEarlierQuestion() {
    std::optional<StreamOrigin> Before;
    std::optional<StreamOrigin> After;
    auto First = startAndLookUp(1, Before);
    auto Second = startAndLookUp(2, After);
    Second->handle(response(m_Queries.at(1), "v1"));
    Second->handle(response(m_Queries.at(2), "v2"));
    m_Context.run_for(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(After.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), After->m_Version.value());
    m_Context.stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateResponseTest);
