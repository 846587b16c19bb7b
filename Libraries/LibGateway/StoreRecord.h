//===-- StoreRecord.h - One entry that the instances keep in the store ----===//
//
// Whoever writes it has read the one before: two that write at once can't undo
// each other. Each write is paid for, so there is a least time between two.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_STORERECORD_H
#define YARDRILL_LIBGATEWAY_STORERECORD_H

#include "LibCore/Time.h"
#include "LibPlatform/KeyValueService.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace yardrill::gateway {

class StoreRecord {
public:
  /// \param Name of the record; the events of its writes bear it.
  StoreRecord(boost::asio::io_context &Context,
              platform::KeyValueService &Store, std::string Name,
              core::Duration WritePeriod)
      : m_Context(Context), m_Store(Store), m_Name(std::move(Name)),
        m_WritePeriod(WritePeriod) {}

  /// The key of the record of that name.
  static std::string keyOf(const std::string &Name) {
    return "yardrill/" + Name;
  }
  bool isRecordKey(const std::string &Key) const {
    return Key == keyOf(m_Name);
  }
  /// Takes in what the store says. \returns the text; empty: none.
  std::string read(const platform::Entry &Change);
  /// What the store held when it was last heard of.
  const std::string &text() const { return m_Text; }
  /// Writes \p Text, unless a write was tried lately. A failure is logged and
  /// tried again with the next call.
  void write(const std::string &Text, core::TimePoint Now);
  /// The entry can't be read.
  void logUnreadable(const platform::Entry &Change) const;

private:
  void writeNow(const std::string &Text, boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  platform::KeyValueService &m_Store;
  std::string m_Name;
  core::Duration m_WritePeriod;
  platform::Revision m_Revision; ///< Of its entry; 0: none.
  std::string m_Text;
  core::TimePoint m_LastAttemptAt{};
};

} // namespace yardrill::gateway

#endif
