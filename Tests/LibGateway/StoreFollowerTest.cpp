//===-- StoreFollowerTest.cpp - Where a watch of the store begins ---------===//
#include "LibGateway/StoreFollower.h"

#include "EmptyStore.h"
#include "LibCore/Error.h"

#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using namespace yardrill::tests;
namespace asio = boost::asio;
using platform::Entry;
using platform::Revision;

namespace {

/// Has fixed content. Each watch fails at once, after its revision was
/// recorded.
class BreakingStore final : public EmptyStore {
public:
  explicit BreakingStore(std::function<void()> OnWatch)
      : m_OnWatch(std::move(OnWatch)) {}

  std::vector<Revision> m_WatchRevisions;

  std::vector<Entry> readPrefix(const std::string &, platform::CallClass,
                                asio::yield_context) override {
    return {{"large", "old", Revision(4)}};
  }
  void watch(const std::string &, Revision After,
             const std::function<bool(const std::vector<Entry> &)> &,
             asio::yield_context) override {
    m_WatchRevisions.push_back(After);
    m_OnWatch();
    throw core::Error(core::ErrorKind::Unavailable, "cut");
  }
  Revision lastRevision() const override { return Revision(5); }

private:
  std::function<void()> m_OnWatch;
};

} // namespace

class StoreFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreFollowerTest);
  CPPUNIT_TEST(testWatchStartsBeforeMissingValues);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a pending value that no peer can supply any more.
  void testWatchStartsBeforeMissingValues() {
    asio::io_context Context{1};
    platform::StoreMirror Mirror(16);
    BreakingStore Store([&] {
      if (Store.m_WatchRevisions.size() == 2)
        return Context.stop();
      Mirror.apply(Revision(9), {{"large", "", Revision(7), false, true},
                                 {"small", "new", Revision(9)}});
    });
    StoreFollower Follower(Context, Store, Mirror);
    Follower.start([](core::Duration) { return false; });
    Context.run_for(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Store.m_WatchRevisions.size());
    CPPUNIT_ASSERT(Store.m_WatchRevisions[0] == Revision(5));
    CPPUNIT_ASSERT(Mirror.revision() == Revision(9));
    CPPUNIT_ASSERT(Store.m_WatchRevisions[1] == Revision(6));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTest);
