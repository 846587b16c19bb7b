//===-- InstanceSettings.h - What one process is told at its start --------===//
#ifndef YARDRILL_LIBCONFIG_INSTANCESETTINGS_H
#define YARDRILL_LIBCONFIG_INSTANCESETTINGS_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace yardrill::config {

/// Limits on one caller connection and on all of them. Each has a stated
/// answer when it is reached (docs/OPERATIONS.md).
struct CallerLimits {
  std::size_t m_HeaderBytes = 0;     ///< More: 431.
  std::size_t m_BodyBytes = 0;       ///< More: 413.
  std::size_t m_OpenConnections = 0; ///< More: not accepted until one closes.
  std::size_t m_MaxOpenRequests = 0; ///< More: 503 `overloaded`.
  core::Duration m_ReadTimeout{};    ///< Slower header or body: 408.
  core::Duration m_WriteTimeout{};   ///< A reader this slow is cut off.
  core::Duration m_IdleTimeout{};    ///< Kept-alive connection closed.
};

struct TargetLimits {
  core::Duration m_ConnectTimeout{};
  /// Longest silence of a target within an answer.
  core::Duration m_SilenceTimeout{};
  std::size_t m_MaxIdleConnections = 0; ///< Kept for reuse, per target.
};

struct IdentityLimits {
  std::size_t m_Identities = 0;    ///< More: 429 `identities-full`, not run.
  std::size_t m_MaxStoreBytes = 0; ///< Kept answers in all.
  std::size_t m_MaxStoredResponseBytes = 0; ///< A larger answer is not kept.
  core::Duration m_Retention{}; ///< How long an identity is remembered.
};

struct PlatformSettings {
  std::vector<Endpoint> m_Addresses;
  core::Duration m_CallTimeout{};
  double m_CallsPerSecond = 0; ///< Budget of this instance, all calls.
  double m_CallBurst = 0;
  std::size_t m_MaxWaitingCalls = 0; ///< More are refused at once.
};

struct PeerSettings {
  std::vector<Endpoint> m_Seeds;
  std::string m_Key; ///< Shared secret, raw bytes.
  core::Duration m_HeartbeatPeriod{};
  core::Duration m_SilenceTimeout{}; ///< Then a peer counts as gone.
  std::size_t m_MaxKnownPeers = 0;
};

/// One process's settings, read once at its start.
class InstanceSettings {
public:
  /// \throws DocumentError with every fault found.
  static InstanceSettings parse(const std::string &Text,
                                const std::string &File);
  /// \throws core::Error when the file can't be read; DocumentError.
  static InstanceSettings load(const std::string &File);
  /// A commented document with every key and its default.
  static const char *example();

  core::InstanceName m_Name;
  core::DataHallName m_DataHall;
  Endpoint m_CallerAddress;
  Endpoint m_OperatorAddress;
  Endpoint m_PeerAddress; ///< The same number for UDP and TCP.
  std::string m_OperatorToken;
  std::string m_TraceFile; ///< Empty: decisions are not recorded.
  std::size_t m_QueueCapacity = 0;
  /// How long a stopping instance is not ready but still accepts, so that the
  /// balancer can take it out first.
  core::Duration m_DrainDelay{};
  CallerLimits m_Callers;
  TargetLimits m_Targets;
  IdentityLimits m_Identities;
  PlatformSettings m_Platform;
  PeerSettings m_Peers;
};

/// \throws core::Error of kind Settings when the file can't be read.
std::string readFile(const std::string &File);

} // namespace yardrill::config

#endif
