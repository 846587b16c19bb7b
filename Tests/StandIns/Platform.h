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

/// Speaks as much of the etcd v3 JSON gateway as yardrill uses: range, txn,
/// leases, watch. The instance list is keys in it, written by control with a
/// lag. Faults by control: outage, slowness, a rate limit, answers lost after
/// the write took effect, writes that take effect late.
class Platform final : public StandIn {
public:
  using StandIn::StandIn;

  /// Starts ending leases on time.
  void start();

protected:
  void handle(http::Exchange &Call, boost::asio::yield_context Yield) override;
  void control(const boost::json::object &Settings) override;
  boost::json::object counters() const override;

private:
  struct Item {
    std::string m_Value;
    std::int64_t m_Modified = 0;
    std::int64_t m_Lease = 0;
  };
  struct Change {
    std::int64_t m_Revision = 0;
    std::string m_Key;
    std::optional<Item> m_Item; ///< None: deleted.
  };
  struct Lease {
    std::int64_t m_Seconds = 0;
    std::chrono::steady_clock::time_point m_Until;
  };

  boost::json::object answer(const std::string &Path,
                             const boost::json::object &Body);
  boost::json::object range(const boost::json::object &Body) const;
  boost::json::object transact(const boost::json::object &Body);
  boost::json::object grant(const boost::json::object &Body);
  boost::json::object keepAlive(const boost::json::object &Body);
  boost::json::object revoke(const boost::json::object &Body);
  void watch(http::Exchange &Call, const boost::json::object &Body,
             boost::asio::yield_context Yield);
  boost::json::object header() const;
  boost::json::object toJson(const std::string &Key, const Item &What) const;
  void put(const std::string &Key, std::optional<Item> What);
  void endLease(std::int64_t Id);
  void schedulePut(const boost::json::object &Wanted);
  bool isOverRate();

  std::map<std::string, Item> m_Items;
  std::deque<Change> m_Changes;
  std::map<std::int64_t, Lease> m_Leases;
  std::list<std::shared_ptr<boost::asio::steady_timer>> m_Watchers;
  std::int64_t m_Revision = 1;
  std::int64_t m_NextLease = 1;
  bool m_IsDown = false;
  std::int64_t m_SlowMilliseconds = 0;
  std::int64_t m_LoseAnswers = 0;      ///< Of so many next writes.
  std::int64_t m_LateMilliseconds = 0; ///< Lost writes take effect so late.
  std::int64_t m_CallsPerSecond = 0;   ///< 0: no limit.
  std::deque<std::chrono::steady_clock::time_point> m_RecentCalls;
  std::size_t m_Calls = 0;
  std::size_t m_Writes = 0;
  std::size_t m_OpenWatches = 0;
};

} // namespace yardrill::standins

#endif
