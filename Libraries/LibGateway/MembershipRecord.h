//===-- MembershipRecord.h - Lists of instances in the store --------------===//
//
// Lets each instance know the members of the fleet and which of them own
// quotas, even one that has just started and knows no peer. One instance writes
// the lists, rarely.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_MEMBERSHIPRECORD_H
#define YARDRILL_LIBGATEWAY_MEMBERSHIPRECORD_H

#include "LibGateway/StoreRecord.h"
#include "LibRouting/FleetSubset.h"

namespace yardrill::gateway {

/// Data hall of each instance, by peer address.
using FleetMembers = routing::FleetSubset::Fleet;

/// Reads and writes one list; used by Gateway.
class MembershipRecord {
public:
  static constexpr std::chrono::seconds DefaultWritePeriod{10};

  /// \param Name see StoreRecord.
  /// \param WritePeriod see StoreRecord.
  MembershipRecord(boost::asio::io_context &Context,
                   platform::KeyValueService &Store,
                   std::string Name = "instances",
                   core::Duration WritePeriod = DefaultWritePeriod);

  bool isRecordKey(const std::string &Key) const {
    return m_Record.isRecordKey(Key);
  }
  /// Applies a change of the entry in the store.
  /// \returns the recorded instances; empty if there are none, or if the entry
  /// is unreadable, which is logged.
  FleetMembers read(const platform::Entry &Change);
  /// Starts to write \p Instances, unless a write was attempted recently.
  /// Failures are logged; the caller retries.
  void write(const FleetMembers &Instances, core::TimePoint Now);

private:
  StoreRecord m_Record;
};

} // namespace yardrill::gateway

#endif
