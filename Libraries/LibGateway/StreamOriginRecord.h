//===-- StreamOriginRecord.h - Origins of streams in the store ------------===//
//
// Instances that all lose power at once forget where their streams began. While
// targets of several versions serve, each keeps the origins of the streams that
// it relays in an entry of the store.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_STREAMORIGINRECORD_H
#define YARDRILL_LIBGATEWAY_STREAMORIGINRECORD_H

#include "LibConfig/Endpoint.h"
#include "LibGateway/StreamOrigin.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace yardrill::gateway {

/// Name and text of the entry of one instance; used by StreamOriginService.
class StreamOriginRecord {
public:
  /// Returns the name of an instance's record, see StoreRecord.
  static std::string nameOf(const config::Endpoint &Instance);
  /// Whether the key is that of any instance's record.
  static bool isRecordKey(const std::string &Key);
  /// Adds a stream to the text of a record.
  static void append(std::string &Text, const StreamKey &Key,
                     const StreamOrigin &Origin);
  using Streams = std::vector<std::pair<StreamKey, StreamOrigin>>;
  /// Returns all streams in a text, but for malformed lines.
  static Streams parse(const std::string &Text);
  /// Returns the origin of a stream; none if the text does not have it.
  static std::optional<StreamOrigin> find(const std::string &Text,
                                          const StreamKey &Key);
};

} // namespace yardrill::gateway

#endif
