//===-- InstanceRefJson.h - JSON form of instance references --------------===//
#ifndef YARDRILL_LIBINSTANCE_INSTANCEREFJSON_H
#define YARDRILL_LIBINSTANCE_INSTANCEREFJSON_H

#include "LibDecision/Identity.h"

#include <boost/json.hpp>

namespace yardrill::instance {

/// Returns `{"incarnation":N,"peer":"ip:port"}`, as stored at the platform.
boost::json::object toJson(const decision::InstanceRef &Instance);
/// Reads a reference; a malformed peer address is left empty.
/// \throws std::exception when a member is missing or has another type.
decision::InstanceRef toInstanceRef(const boost::json::value &Value);

} // namespace yardrill::instance

#endif
