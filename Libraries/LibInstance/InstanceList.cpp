#include "LibInstance/InstanceList.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <boost/json.hpp>

namespace yardrill::instance {

static std::string field(const boost::json::object &Object, const char *Name) {
  return std::string(Object.at(Name).as_string());
}

void InstanceList::put(const platform::Entry &Item) {
  m_Instances.erase(Item.m_Key);
  try {
    boost::json::value Parsed = boost::json::parse(Item.m_Value);
    const boost::json::object &Object = Parsed.as_object();
    ListedInstance Out;
    Out.m_Kind = field(Object, "kind") == "scheduler" ? ListedKind::Scheduler
                                                      : ListedKind::Target;
    Out.m_Name = field(Object, "name");
    Out.m_IsLeaving = field(Object, "state") == "leaving";
    std::string Text = field(Object, "address");
    auto Address = config::Endpoint::parse(Text);
    if (!Address)
      throw core::Error(core::ErrorKind::Protocol,
                        "address \"" + Text + "\" is not IP:PORT");
    Out.m_Address = *Address;
    m_Instances[Item.m_Key] = Out;
  } catch (const std::exception &Failure) {
    core::LogLine("instance-list-unreadable", core::LogLevel::Warning)
        .add("key", Item.m_Key)
        .add("reason", Failure.what());
  }
}

void InstanceList::reset(const std::vector<platform::Entry> &Entries) {
  m_Instances.clear();
  for (const platform::Entry &Item : Entries)
    put(Item);
}

void InstanceList::apply(const std::vector<platform::Entry> &Changes) {
  for (const platform::Entry &Item : Changes) {
    if (Item.m_IsDeleted)
      m_Instances.erase(Item.m_Key);
    else
      put(Item);
  }
}

std::vector<config::Endpoint> InstanceList::schedulerAddresses() const {
  std::vector<config::Endpoint> Out;
  for (const auto &[Key, Listed] : m_Instances)
    if (Listed.m_Kind == ListedKind::Scheduler && !Listed.m_IsLeaving)
      Out.push_back(Listed.m_Address);
  return Out;
}

} // namespace yardrill::instance
