//===-- InstanceList.h - The platform's list of instances -----------------===//
//
// The list is met as keys under `/platform/instances/` in the platform's
// key-value service, written by the platform, one JSON object each:
// {"kind":"scheduler"|"target","name":…,"address":"ip:port",
//  "state":"live"|"leaving"}. It lags; a missing key means gone.
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
  config::Endpoint m_Address; ///< Of a scheduler: its peer address.
  bool m_IsLeaving = false;
};

/// The list as last seen.
class InstanceList {
public:
  /// Replaces the whole list.
  void reset(const std::vector<platform::Entry> &Entries);
  void apply(const std::vector<platform::Entry> &Changes);

  const std::map<std::string, ListedInstance> &all() const {
    return m_Instances;
  }
  std::vector<config::Endpoint> schedulerAddresses() const;

private:
  void put(const platform::Entry &Item);

  std::map<std::string, ListedInstance> m_Instances; ///< By key.
};

} // namespace yardrill::instance

#endif
