//===-- Dialect.h - How requests and answers are written on the wire ------===//
//
// The gateway knows what a request says; an implementation knows under which
// names it says so.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_DIALECT_H
#define YARDRILL_LIBGATEWAY_DIALECT_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"
#include "LibHTTP/Message.h"
#include "LibPlatform/KeyValueService.h"
#include "LibRollout/Order.h"
#include "LibRouting/RoutingTable.h"
#include "LibRouting/Target.h"
#include "LibRouting/TargetBackpressure.h"

#include <optional>
#include <string>
#include <variant>

namespace yardrill::gateway {

/// What a caller's request says about itself.
struct RequestDescription {
  std::string m_Id; ///< The caller's, unique for each attempt; empty: none.
  std::string m_Host;
  std::string m_Path; ///< Without the query.
  std::optional<std::string> m_Key;
  std::optional<core::Duration> m_Deadline; ///< From the request's arrival.
  std::optional<std::string> m_LastEvent;   ///< Already received by the caller.
  bool m_HasTokenCounts = false; ///< Whether the two token counts were given.
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_OutputTokens = 0;   ///< The most that may come.
  std::uint32_t m_ExpectedTokens = 0; ///< The caller's estimate; 0: none.
};

/// What a target is told beside the caller's own words.
struct ForwardDescription {
  core::TargetName m_Target; ///< Any other target must refuse.
  core::Duration m_TimeLeft{};
  std::optional<core::AccountName> m_Account;
  std::optional<std::string> m_LastEvent;
};

/// What a target's answer says about itself.
struct ResponseDescription {
  std::string m_Id;        ///< Of the request it answers.
  bool m_IsSigned = false; ///< Bears the target's signature.
  bool m_IsNotRun = false; ///< The target did not run the request.
  /// It comes from another target than the one the request was meant for.
  bool m_IsMisdirected = false;
  bool m_IsEncoded = false; ///< The body is not as the target made it.
  /// How long the connection may rest before the target closes it.
  std::optional<core::Duration> m_KeepAlive;
  routing::TargetBackpressure m_Backpressure;
};

/// Something that the store said.
struct ConfigurationUpdate {
  routing::RoutingTableHandle m_Table;
};
struct TargetUpdate {
  routing::Target m_Target;
};
struct TargetRemoval {
  core::TargetName m_Target;
};
struct RolloutOrderUpdate {
  rollout::Order m_Order;
};
struct RolloutOrderRemoval {
  core::PoolName m_Pool;
};
/// What operators read of a pool's roll-out; none: the entry is gone.
struct RolloutStatusUpdate {
  core::PoolName m_Pool;
  std::optional<rollout::Status> m_Status;
};
using StoreUpdate =
    std::variant<std::monostate, ConfigurationUpdate, TargetUpdate,
                 TargetRemoval, RolloutOrderUpdate, RolloutOrderRemoval,
                 RolloutStatusUpdate>;

class Dialect {
public:
  virtual ~Dialect() = default;

  virtual RequestDescription
  describe(const http::RequestMessage &Request) const = 0;
  /// Turns the caller's headers into those for a target: whatever only this
  /// system may say is replaced. May be used again on its own result.
  virtual void prepare(http::RequestMessage &Request,
                       const ForwardDescription &What) const = 0;
  /// Names the request in an answer that the gateway itself makes.
  virtual void prepare(http::ResponseHead &Response,
                       const RequestDescription &To) const = 0;
  virtual ResponseDescription
  describe(const http::ResponseHead &Head) const = 0;
  /// \throws core::Error of kind Protocol for an entry that can't be read.
  virtual StoreUpdate read(const platform::Entry &Change) const = 0;
  /// The entry that tells operators of a pool's roll-out.
  virtual platform::Put write(const core::PoolName &Pool,
                              const rollout::Status &Status) const = 0;
  /// Whose announcement an entry is, whether it can be read or not.
  /// \returns none for an entry that is no target's.
  virtual std::optional<core::TargetName>
  targetOf(const platform::Entry &Change) const = 0;
};

} // namespace yardrill::gateway

#endif
