//===-- Platform.h - Stand-in for the metadata store ----------------------===//
#ifndef YARDRILL_TESTS_STANDINS_PLATFORM_H
#define YARDRILL_TESTS_STANDINS_PLATFORM_H

#include "StandIn.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>

namespace yardrill::standins {

/// Implements the calls of the platform's metadata store: reads of items,
/// ranges in pages, conditional writes, leases and watches. The instance list
/// is a set of keys in the store; POST /control writes them, optionally with a
/// delay.
///
/// Faults that POST /control injects: an outage, no or slow responses, a rate
/// limit, responses dropped after the write took effect, writes that take
/// effect late, the compaction of the history, and a return from an older copy,
/// after which revisions are given out again and the era is higher by one.
class Platform final : public StandIn {
public:
  using StandIn::StandIn;

  /// Starts the coroutine that revokes expired leases.
  void startLeaseExpiry();

protected:
  void handle(http::Exchange &Call, boost::asio::yield_context Yield) override;
  void applySettings(const boost::json::object &Settings) override;
  boost::json::object counters() const override;

private:
  struct Item {
    std::string m_Value;
    std::int64_t m_ModRevision = 0;
    std::int64_t m_Lease = 0;
  };
  struct Change {
    std::int64_t m_Revision = 0;
    std::string m_Key;
    std::optional<Item> m_Item; ///< Not set for a removal.
  };
  struct Lease {
    std::chrono::milliseconds m_TimeToLive{};
    std::chrono::steady_clock::time_point m_ExpiresAt;
  };

  struct Response {
    unsigned m_Status = 200; ///< HTTP status code.
    boost::json::object m_Body;
  };

  /// Executes any call but a watch.
  Response execute(const http::RequestMessage &Call);
  /// Goes back to the copy, without leases and the history since.
  void restoreCopy();
  /// Sends a response that states the era.
  void respond(http::Exchange &Call, const Response &Result,
               boost::asio::yield_context Yield) const;
  Response readItem(const std::string &Key) const;
  Response readRange(const std::string &Prefix, const std::string &After) const;
  /// Applies all changes of a transaction if all expected revisions match.
  Response transact(const boost::json::object &Body);
  Response grantLease(const boost::json::object &Body);
  Response keepLeaseAlive(std::int64_t Id);
  Response handleRevokeLease(std::int64_t Id);
  /// Responds with the changes after a revision; waits for the first one until
  /// the call's deadline.
  void watch(http::Exchange &Call, boost::asio::yield_context Yield);
  boost::json::array changesAfter(const std::string &Prefix,
                                  std::int64_t After) const;
  boost::json::object toJson(const std::string &Key, const Item &Entry) const;
  /// Writes or removes an item at the present revision and wakes all watchers.
  void applyChange(const std::string &Key, std::optional<Item> Entry);
  /// Removes a lease and the items attached to it.
  void revokeLease(std::int64_t Id);
  /// Writes ("value") or removes ("key" alone) an item after "lag_ms".
  void schedulePut(const boost::json::object &PutSettings);
  /// Counts a call that the rate limit admits. \returns whether the call
  /// exceeds the limit.
  bool isOverRateLimit();

  std::map<std::string, Item> m_Items;
  std::deque<Change> m_Changes;
  std::map<std::int64_t, Lease> m_Leases;
  std::list<std::shared_ptr<boost::asio::steady_timer>> m_Watchers;
  std::int64_t m_Revision = 1;
  std::int64_t m_NextLease = 1;
  /// Last revision whose changes are forgotten; watches from before get 410.
  std::int64_t m_CompactedRevision = 0;
  std::int64_t m_Era = 1;
  std::map<std::string, Item> m_CopiedItems;
  std::int64_t m_CopiedRevision = 1;
  std::int64_t m_MaxPageItems = 500;
  bool m_IsDown = false;         ///< Aborts all calls.
  bool m_IsUnresponsive = false; ///< Accepts calls and holds their responses.
  std::int64_t m_ResponseDelayMilliseconds = 0;
  /// Number of coming transactions whose responses are dropped.
  std::int64_t m_ResponsesToDrop = 0;
  /// Delay after which a transaction takes effect if its response is dropped.
  std::int64_t m_LateWriteMilliseconds = 0;
  std::int64_t m_CallsPerSecond = 0; ///< 0: no limit.
  std::deque<std::chrono::steady_clock::time_point> m_RecentCalls;
  std::size_t m_Calls = 0;
  std::size_t m_Writes = 0;
  std::size_t m_OpenWatches = 0;
};

} // namespace yardrill::standins

#endif
