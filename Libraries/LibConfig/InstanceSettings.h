//===-- InstanceSettings.h - Settings file of one instance ----------------===//
#ifndef YARDRILL_LIBCONFIG_INSTANCESETTINGS_H
#define YARDRILL_LIBCONFIG_INSTANCESETTINGS_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace yardrill::config {

/// Limits on a caller connection and on all of them. docs/OPERATIONS.md states
/// the response to each.
struct CallerLimits {
  std::size_t m_HeaderBytes = 0; ///< Larger headers: status 431.
  std::size_t m_BodyBytes = 0;   ///< Larger bodies: status 413.
  /// Further connections wait in the kernel's listen queue.
  std::size_t m_OpenConnections = 0;
  /// Maximum number of requests in progress at this instance.
  /// FIXME: It is only read; no request is refused because of it.
  std::size_t m_MaxOpenRequests = 0;
  /// Time from the first bytes of a request to the end of its body, after which
  /// it is refused with status 408.
  core::Duration m_ReadTimeout{};
  /// Time for one write, after which the connection is closed.
  core::Duration m_WriteTimeout{};
  /// Time to wait for the next request, after which the connection is closed.
  core::Duration m_IdleTimeout{};
};

/// Limits on connections to targets.
struct TargetLimits {
  core::Duration m_ConnectTimeout{};
  /// Maximum time to send a request, to receive the header of its response, and
  /// between two parts of the body of the response.
  core::Duration m_SilenceTimeout{};
  std::size_t m_MaxIdleConnections = 0; ///< Per target, for reuse.
};

/// Limits of the table of request identities and their stored responses.
struct IdentityLimits {
  std::size_t m_Identities = 0; ///< Further ones: status 429 `identities-full`.
  std::size_t m_MaxStoreBytes = 0;          ///< Sum over all stored responses.
  std::size_t m_MaxStoredResponseBytes = 0; ///< Larger ones are not stored.
  /// Time after which an identity is forgotten, counted from the issue of its
  /// ticket or from the first request with its key.
  core::Duration m_Retention{};
};

/// Connection to the platform's metadata store.
struct PlatformSettings {
  std::vector<Endpoint> m_Addresses;
  core::Duration m_CallTimeout{};
  double m_CallsPerSecond = 0;       ///< Rate limit over all kinds of calls.
  double m_CallBurst = 0;            ///< Burst that it allows, in calls.
  std::size_t m_MaxWaitingCalls = 0; ///< Further calls fail at once.
};

/// Communication with the other instances.
struct PeerSettings {
  std::vector<Endpoint> m_Seeds; ///< Peer addresses of some instances.
  std::string m_Key;             ///< Secret that all instances share, as bytes.
  core::Duration m_HeartbeatPeriod{};
  /// Time without a message, after which a peer is considered gone.
  core::Duration m_SilenceTimeout{};
  std::size_t m_MaxKnownPeers = 0;
};

/// Settings of one instance, which `yardrill serve` loads when it starts.
class InstanceSettings {
public:
  /// Parses the YAML in \p Text; \p File names it in diagnostics.
  /// \throws DocumentError with all errors of the document.
  static InstanceSettings parse(const std::string &Text,
                                const std::string &File);
  /// Reads and parses \p File.
  /// \throws core::Error when the file can't be read; DocumentError.
  static InstanceSettings load(const std::string &File);
  /// Returns a commented document with every key and its default.
  static const char *example();

  core::InstanceName m_Name;
  core::DataHallName m_DataHall;
  Endpoint m_CallerAddress;
  Endpoint m_OperatorAddress;
  Endpoint m_PeerAddress; ///< Same port for UDP and TCP.
  std::string m_OperatorToken;
  std::string m_TraceFile;         ///< Empty: decisions are not recorded.
  std::size_t m_QueueCapacity = 0; ///< Entries of each queue between threads.
  /// Time during which a stopping instance reports not ready and still accepts
  /// connections, so that the load balancer removes it first.
  core::Duration m_DrainDelay{};
  CallerLimits m_Callers;
  TargetLimits m_Targets;
  IdentityLimits m_Identities;
  PlatformSettings m_Platform;
  PeerSettings m_Peers;
};

/// Returns the contents of \p File.
/// \throws core::Error of kind Settings when it can't be read or is empty.
std::string readFile(const std::string &File);

} // namespace yardrill::config

#endif
