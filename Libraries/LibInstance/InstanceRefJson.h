//===-- InstanceRefJson.h - Homes as the platform keeps them ------------===//
#ifndef YARDRILL_LIBINSTANCE_INSTANCEREFJSON_H
#define YARDRILL_LIBINSTANCE_INSTANCEREFJSON_H

#include "LibDecision/Identity.h"

#include <boost/json.hpp>

namespace yardrill::instance {

/// `{"incarnation":N,"peer":"ip:port"}`
boost::json::object toJson(const decision::InstanceRef &InstanceRef);
/// \throws std::exception when \p Value is something else.
decision::InstanceRef toInstanceRef(const boost::json::value &Value);

} // namespace yardrill::instance

#endif
