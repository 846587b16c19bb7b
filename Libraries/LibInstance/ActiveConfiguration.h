//===-- ActiveConfiguration.h - Newest accepted configuration -------------===//
#ifndef YARDRILL_LIBINSTANCE_ACTIVECONFIGURATION_H
#define YARDRILL_LIBINSTANCE_ACTIVECONFIGURATION_H

#include "LibConfig/FleetConfiguration.h"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace yardrill::instance {

/// A configuration's text and version, as stored in the platform's key-value
/// service and sent between instances.
struct ConfigurationEnvelope {
  core::ConfigurationVersion m_Version;
  /// Ids of the latest changes, newest last. A publisher whose response was
  /// lost finds its change here if it took effect.
  std::vector<std::string> m_ChangeIds;
  std::string m_Text;

  /// \throws core::Error of kind Configuration when \p Json is malformed.
  static ConfigurationEnvelope parse(const std::string &Json);
  std::string toJson() const;
  bool hasChange(const std::string &Change) const;
};

/// Holds the newest configuration that this instance accepted, from the
/// platform, a peer or an operator. The version only increases, in whatever
/// order configurations are offered (brief: "never reverts"). Thread-safe.
class ActiveConfiguration {
public:
  /// Receives each new configuration, in order of versions and one at a time.
  using Subscriber = std::function<void(const config::ConfigurationHandle &)>;

  void subscribe(Subscriber Notify);
  /// Accepts a configuration and notifies the subscribers.
  /// \returns false when it is not newer, or is invalid, which is logged.
  bool offer(const ConfigurationEnvelope &Envelope);

  config::ConfigurationHandle current() const;
  ConfigurationEnvelope envelope() const;
  core::ConfigurationVersion version() const;

private:
  /// Serializes offers, from the version check to the last notification.
  std::mutex m_OfferMutex;
  /// Protects the current configuration; never held while a text is parsed.
  mutable std::mutex m_Mutex;
  config::ConfigurationHandle m_Current;
  ConfigurationEnvelope m_Envelope;
  std::vector<Subscriber> m_Subscribers;
};

} // namespace yardrill::instance

#endif
