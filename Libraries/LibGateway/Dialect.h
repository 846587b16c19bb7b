//===-- Dialect.h - Wire format of requests, responses and entries --------===//
//
// The gateway works on the descriptions below; a Dialect knows the names and
// encodings that stand for them on the wire and in the store.
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
#include <vector>

namespace yardrill::gateway {

/// Fields of a caller's request that the gateway acts on.
struct RequestDescription {
  std::string m_Id; ///< Unique for each attempt of the caller; empty: none.
  std::string m_Host;
  std::string m_Path;                       ///< Without the query.
  std::optional<std::string> m_Key;         ///< API key of a client account.
  std::optional<core::Duration> m_Deadline; ///< Relative to the arrival.
  std::optional<std::string> m_LastEvent;   ///< Id of the last event received.
  /// Id of the attempt that received the first event of the resumed stream.
  std::optional<std::string> m_ResumedAttempt;
  bool m_HasTokenCounts = false; ///< Whether the next two are given.
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_OutputTokens = 0;   ///< Upper bound of the output.
  std::uint32_t m_ExpectedTokens = 0; ///< Estimate of the output; 0: none.
  /// Ids of the parts of the prompt that other requests may share, in order.
  std::vector<std::string> m_SharedParts;
};

/// Fields that the gateway adds to a request when it sends it to a target.
struct ForwardDescription {
  core::TargetName m_Target;   ///< Any other target must refuse the request.
  core::Duration m_TimeLeft{}; ///< Time until the request's deadline.
  std::optional<core::AccountName> m_Account;
  std::optional<std::string> m_LastEvent; ///< Event to resume the stream after.
};

/// Fields of a target's response that the gateway acts on.
struct ResponseDescription {
  std::string m_Id; ///< Id of the request that it belongs to.
  /// Target that the response states to be from; none if it doesn't.
  std::optional<core::TargetName> m_Sender;
  bool m_IsSigned = false; ///< Whether it has the target's signature.
  bool m_IsNotRun = false; ///< Whether the target did not run the request.
  /// Whether callers take the status for a promise that the request did not
  /// run, though the target has not stated it.
  bool m_IsUnprovenRefusal = false;
  /// Whether another target than the addressed one received the request.
  bool m_IsMisdirected = false;
  /// Whether the response says in so many words that the request did not run.
  bool m_HasNotRunMark = false;
  bool m_IsEncoded = false; ///< Whether the body is not as the target made it.
  /// Time after which the target closes an idle connection.
  std::optional<core::Duration> m_KeepAlive;
  routing::TargetBackpressure m_Backpressure;
};

/// A configuration was published.
struct ConfigurationUpdate {
  routing::RoutingTableHandle m_Table;
};
/// A target was announced, or its announcement was changed.
struct TargetUpdate {
  routing::Target m_Target;
  /// Time until the target has warmed up, from the announcement on.
  core::Duration m_WarmUpLeft{};
};
/// A target's announcement was removed.
struct TargetRemoval {
  core::TargetName m_Target;
};
/// An order to drain a data hall was published or removed.
struct DataHallUpdate {
  core::DataHallName m_DataHall;
  bool m_IsDrained = false;
};
/// A rollout order was published for a pool.
struct RolloutOrderUpdate {
  rollout::Order m_Order;
};
/// A pool's rollout order was removed.
struct RolloutOrderRemoval {
  core::PoolName m_Pool;
};
/// A pool's rollout status for operators was published; none: it was removed.
struct RolloutStatusUpdate {
  core::PoolName m_Pool;
  std::optional<rollout::Status> m_Status;
};
/// One decoded change of the store; std::monostate for a change to ignore.
using StoreUpdate =
    std::variant<std::monostate, ConfigurationUpdate, TargetUpdate,
                 TargetRemoval, DataHallUpdate, RolloutOrderUpdate,
                 RolloutOrderRemoval, RolloutStatusUpdate>;

/// Translates between the gateway's descriptions and the platform's headers and
/// store entries. Gateway and RolloutWriter call it; platform::PlatformDialect
/// implements it.
class Dialect {
public:
  virtual ~Dialect() = default;

  /// Reads a caller's request.
  virtual RequestDescription
  describe(const http::RequestMessage &Request) const = 0;
  /// Turns the caller's headers into those for a target and replaces headers
  /// that only the gateway may set. May be applied to its own result, for the
  /// next attempt.
  virtual void prepare(http::RequestMessage &Request,
                       const ForwardDescription &Forward) const = 0;
  /// Undoes what the above did to the headers that describe() reads, so that a
  /// peer can read the request as this instance did.
  virtual void restore(http::RequestMessage &Request,
                       const RequestDescription &Original) const = 0;
  /// Adds the request's id to a response that the gateway creates.
  virtual void prepare(http::ResponseHead &Response,
                       const RequestDescription &To) const = 0;
  /// Reads the head of a target's response.
  virtual ResponseDescription
  describe(const http::ResponseHead &Head) const = 0;
  /// Decodes a changed entry of the store.
  /// \throws core::Error of kind Protocol for a malformed entry.
  virtual StoreUpdate read(const platform::Entry &Change) const = 0;
  /// Returns the entry that shows operators the status of a pool's rollout.
  virtual platform::Put write(const core::PoolName &Pool,
                              const rollout::Status &Status) const = 0;
  /// Returns the target that an entry announces, even if the entry is
  /// malformed; none if it is not a target's entry.
  virtual std::optional<core::TargetName>
  targetOf(const platform::Entry &Change) const = 0;
};

} // namespace yardrill::gateway

#endif
