//===-- ActiveConfiguration.h - The configuration in force here -----------===//
#ifndef YARDRILL_LIBINSTANCE_ACTIVECONFIGURATION_H
#define YARDRILL_LIBINSTANCE_ACTIVECONFIGURATION_H

#include "LibConfig/FleetConfiguration.h"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace yardrill::instance {

/// What stands in the platform's service: a text with its place in the order
/// of all that were ever accepted.
struct ConfigurationEnvelope {
  core::ConfigurationVersion m_Version;
  /// Ids of the latest changes, newest last, so that a publisher who lost an
  /// answer can tell whether its change was made.
  std::vector<std::string> m_ChangeIds;
  std::string m_Text;

  /// \throws core::Error of kind Configuration.
  static ConfigurationEnvelope parse(const std::string &Json);
  std::string toJson() const;
  bool hasChange(const std::string &Change) const;
};

/// Holds the newest accepted configuration. It only ever goes to a higher
/// version, whoever offers what, in whatever order (brief: "never reverts").
/// Thread-safe.
class ActiveConfiguration {
public:
  /// Called with each new configuration, one at a time, in order.
  using Subscriber = std::function<void(const config::ConfigurationHandle &)>;

  void subscribe(Subscriber Notify);
  /// \returns false when the offer is not newer, or cannot be read (logged).
  bool offer(const ConfigurationEnvelope &Envelope);

  config::ConfigurationHandle current() const;
  ConfigurationEnvelope envelope() const;
  core::ConfigurationVersion version() const;

private:
  /// Held by one offer from its check to its notifications.
  std::mutex m_OfferMutex;
  /// Held only to read or replace what is current.
  mutable std::mutex m_Mutex;
  config::ConfigurationHandle m_Current;
  ConfigurationEnvelope m_Envelope;
  std::vector<Subscriber> m_Subscribers;
};

} // namespace yardrill::instance

#endif
