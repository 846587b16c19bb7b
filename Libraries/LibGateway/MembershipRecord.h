//===-- MembershipRecord.h - The list of instances, as the store keeps it
//------===//
//
// Whoever reads it knows which instances keep which quotas, also a process that
// has just started and has heard of nobody. One instance writes it, rarely.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_MEMBERSHIPRECORD_H
#define YARDRILL_LIBGATEWAY_MEMBERSHIPRECORD_H

#include "LibGateway/StoreRecord.h"
#include "LibRouting/FleetSubset.h"

namespace yardrill::gateway {

/// The data hall of each instance, by its peer address.
using FleetMembers = routing::FleetSubset::Fleet;

class MembershipRecord {
public:
  MembershipRecord(boost::asio::io_context &Context,
                   platform::KeyValueService &Store);

  bool isRecordKey(const std::string &Key) const {
    return m_Record.isRecordKey(Key);
  }
  /// Takes in what the store says. \returns the list; empty: none, or
  /// unreadable.
  FleetMembers read(const platform::Entry &Change);
  /// Writes the list, unless a write was tried lately. A failure is logged and
  /// tried again later.
  void write(const FleetMembers &Instances, core::TimePoint Now);

private:
  StoreRecord m_Record;
};

} // namespace yardrill::gateway

#endif
