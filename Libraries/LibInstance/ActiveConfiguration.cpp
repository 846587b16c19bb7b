#include "LibInstance/ActiveConfiguration.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <algorithm>
#include <boost/json.hpp>

namespace yardrill::instance {

namespace json = boost::json;

static const std::size_t MaxRememberedChanges = 32;

ConfigurationEnvelope ConfigurationEnvelope::parse(const std::string &Json) {
  try {
    json::value Parsed = json::parse(Json);
    const json::object &Object = Parsed.as_object();
    ConfigurationEnvelope Out;
    Out.m_Version = core::ConfigurationVersion(
        Object.at("version").to_number<std::uint64_t>());
    for (const json::value &Change : Object.at("changes").as_array())
      Out.m_ChangeIds.emplace_back(Change.as_string());
    Out.m_Text = std::string(Object.at("text").as_string());
    return Out;
  } catch (const std::exception &Failure) {
    throw core::Error(core::ErrorKind::Configuration, Failure.what());
  }
}

std::string ConfigurationEnvelope::toJson() const {
  json::array Changes;
  std::size_t First =
      m_ChangeIds.size() - std::min(m_ChangeIds.size(), MaxRememberedChanges);
  for (std::size_t I = First; I < m_ChangeIds.size(); ++I)
    Changes.emplace_back(m_ChangeIds[I]);
  return json::serialize(json::object{
      {"version", m_Version.value()}, {"changes", Changes}, {"text", m_Text}});
}

bool ConfigurationEnvelope::hasChange(const std::string &Change) const {
  return std::find(m_ChangeIds.begin(), m_ChangeIds.end(), Change) !=
         m_ChangeIds.end();
}

void ActiveConfiguration::subscribe(Subscriber Notify) {
  std::lock_guard<std::mutex> Lock(m_OfferMutex);
  m_Subscribers.push_back(std::move(Notify));
}

bool ActiveConfiguration::offer(const ConfigurationEnvelope &Envelope) {
  std::lock_guard<std::mutex> OfferLock(m_OfferMutex);
  config::ConfigurationHandle Current = current();
  if (Current && !(Current->version() < Envelope.m_Version))
    return false;
  config::ConfigurationHandle Next;
  try {
    // Outside m_Mutex: parsing a large text must not block readers.
    Next = config::FleetConfiguration::parse(Envelope.m_Text, "configuration",
                                             Envelope.m_Version);
  } catch (const core::Error &Failure) {
    // Texts are validated before they are published, so another release wrote
    // this one.
    core::LogLine("configuration-unreadable", core::LogLevel::Error)
        .add("version", Envelope.m_Version)
        .add("reason", Failure.what());
    return false;
  }
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Current = Next;
    m_Envelope = Envelope;
  }
  core::LogLine("configuration-in-force").add("version", Envelope.m_Version);
  for (const Subscriber &Notify : m_Subscribers)
    Notify(Next);
  return true;
}

config::ConfigurationHandle ActiveConfiguration::current() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Current;
}

ConfigurationEnvelope ActiveConfiguration::envelope() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Envelope;
}

core::ConfigurationVersion ActiveConfiguration::version() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Current ? m_Current->version() : core::ConfigurationVersion();
}

} // namespace yardrill::instance
