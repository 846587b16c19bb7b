//===-- InstanceList.h - The platform's list of instances -----------------===//
//
// The platform writes a key under `/platform/instances/` of its key-value
// service for each instance. The value is a JSON object:
// {"kind":"scheduler"|"target","name":…,"address":"ip:port",
//  "state":"live"|"leaving"}. The list lags behind the instances; an instance
// without a key is gone.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBINSTANCE_INSTANCELIST_H
#define YARDRILL_LIBINSTANCE_INSTANCELIST_H

#include "LibConfig/Endpoint.h"
#include "LibPlatform/KeyValueService.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yardrill::instance {

inline constexpr const char *InstanceListPrefix = "/platform/instances/";

enum class ListedKind { Scheduler, Target };

struct ListedInstance {
  ListedKind m_Kind = ListedKind::Target;
  std::string m_Name;
  config::Endpoint m_Address; ///< The peer address, for a scheduler.
  bool m_IsLeaving = false;
};

/// Copy of the platform's instance list, kept by the platform thread.
class InstanceList {
public:
  /// Replaces all entries.
  void reset(const std::vector<platform::Entry> &Entries);
  /// Applies changes that a watch reported.
  void apply(const std::vector<platform::Entry> &Changes);

  const std::map<std::string, ListedInstance> &all() const {
    return m_Instances;
  }
  /// Returns the peer addresses of schedulers that are not leaving.
  std::vector<config::Endpoint> schedulerAddresses() const;

private:
  /// Adds or replaces an entry. Removes one whose new value is malformed, which
  /// is logged.
  void put(const platform::Entry &Item);

  std::map<std::string, ListedInstance> m_Instances; ///< By key.
};

} // namespace yardrill::instance

#endif
