//===-- Platform.h - A small key-value service and instance list ----------===//
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

/// Speaks the calls of the users' metadata store: items, ranges in pages,
/// conditional writes, leases, watches. The instance list is keys in it,
/// written by control with a lag. Faults by control: outage, silence, slowness,
/// a rate limit, answers lost after the write took effect, writes that take
/// effect late, a history that is forgotten.
class Platform final : public StandIn {
public:
  using StandIn::StandIn;

  /// Starts ending leases on time.
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
    std::optional<Item> m_Item; ///< None: deleted.
  };
  struct Lease {
    std::chrono::milliseconds m_TimeToLive{};
    std::chrono::steady_clock::time_point m_ExpiresAt;
  };

  struct Response {
    unsigned m_Status = 200;
    boost::json::object m_Body;
  };

  Response execute(const http::RequestMessage &Call);
  Response readItem(const std::string &Key) const;
  Response readRange(const std::string &Prefix, const std::string &After) const;
  Response transact(const boost::json::object &Body);
  Response grantLease(const boost::json::object &Body);
  Response keepLeaseAlive(std::int64_t Id);
  Response handleRevokeLease(std::int64_t Id);
  void watch(http::Exchange &Call, boost::asio::yield_context Yield);
  boost::json::array changesAfter(const std::string &Prefix,
                                  std::int64_t After) const;
  boost::json::object toJson(const std::string &Key, const Item &Entry) const;
  void applyChange(const std::string &Key, std::optional<Item> Entry);
  void revokeLease(std::int64_t Id);
  void schedulePut(const boost::json::object &PutSettings);
  bool isOverRateLimit();

  std::map<std::string, Item> m_Items;
  std::deque<Change> m_Changes;
  std::map<std::int64_t, Lease> m_Leases;
  std::list<std::shared_ptr<boost::asio::steady_timer>> m_Watchers;
  std::int64_t m_Revision = 1;
  std::int64_t m_NextLease = 1;
  std::int64_t m_CompactedRevision = 0; ///< Changes up to it are forgotten.
  std::int64_t m_MaxPageItems = 500;
  bool m_IsDown = false;
  bool m_IsUnresponsive = false; ///< Takes calls and never answers.
  std::int64_t m_ResponseDelayMilliseconds = 0;
  std::int64_t m_ResponsesToDrop = 0; ///< Of so many next writes.
  std::int64_t m_LateWriteMilliseconds =
      0;                             ///< Lost writes take effect so late.
  std::int64_t m_CallsPerSecond = 0; ///< 0: no limit.
  std::deque<std::chrono::steady_clock::time_point> m_RecentCalls;
  std::size_t m_Calls = 0;
  std::size_t m_Writes = 0;
  std::size_t m_OpenWatches = 0;
};

} // namespace yardrill::standins

#endif
