//===-- StoreRecord.h - Entry in the store that instances maintain --------===//
//
// Written by compare-and-swap on the revision read last, so that concurrent
// writers cannot overwrite each other. Each write is billed, hence the minimum
// time between two attempts.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_STORERECORD_H
#define YARDRILL_LIBGATEWAY_STORERECORD_H

#include "LibCore/Time.h"
#include "LibPlatform/KeyValueService.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace yardrill::gateway {

/// Text under one key; used by MembershipRecord, QuarantineService and
/// StreamOriginService.
class StoreRecord {
public:
  /// \param Name of the record, also in the log events of its writes.
  /// \param WritePeriod minimum time between two attempts to write.
  /// \param Lifetime time after its last write within which the store removes
  /// the entry, no sooner than after half of it; none: it stays.
  StoreRecord(boost::asio::io_context &Context,
              platform::KeyValueService &Store, std::string Name,
              core::Duration WritePeriod,
              std::optional<std::chrono::seconds> Lifetime = std::nullopt)
      : m_Context(Context), m_Store(Store), m_Name(std::move(Name)),
        m_WritePeriod(WritePeriod), m_Lifetime(Lifetime) {}

  /// Returns the key of the record called \p Name.
  static std::string keyOf(const std::string &Name) {
    return "yardrill/" + Name;
  }
  bool isRecordKey(const std::string &Key) const {
    return Key == keyOf(m_Name);
  }
  /// Applies a change of the entry in the store.
  /// \returns the new text; empty if the entry was deleted.
  std::string read(const platform::Entry &Change);
  /// Returns the text as of the last change applied.
  const std::string &text() const { return m_Text; }
  /// Starts to write \p Text, unless a write was attempted recently. Failures
  /// are logged; the next call retries.
  void write(const std::string &Text, core::TimePoint Now);
  /// Logs that the text of \p Change is invalid.
  void logUnreadable(const platform::Entry &Change) const;

private:
  /// Returns the lease of the next write, which a new one replaces in time.
  std::optional<platform::LeaseId> lease(boost::asio::yield_context Yield);
  void writeNow(const std::string &Text, boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  platform::KeyValueService &m_Store;
  std::string m_Name;
  core::Duration m_WritePeriod;
  std::optional<std::chrono::seconds> m_Lifetime;
  std::optional<platform::LeaseId> m_Lease;
  core::TimePoint m_LeaseGrantedAt{};
  platform::Revision m_Revision; ///< Of the entry; 0: absent
  std::string m_Text;
  core::TimePoint m_LastAttemptAt{};
};

} // namespace yardrill::gateway

#endif
