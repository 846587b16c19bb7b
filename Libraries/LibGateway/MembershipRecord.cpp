//===-- MembershipRecord.cpp - Lists of instances in the store ------------===//
#include "LibGateway/MembershipRecord.h"

#include <sstream>

namespace yardrill::gateway {

MembershipRecord::MembershipRecord(boost::asio::io_context &Context,
                                   platform::KeyValueService &Store,
                                   std::string Name, core::Duration WritePeriod)
    : m_Record(Context, Store, std::move(Name), WritePeriod) {}

/// Returns one line per instance: its address, a space and its data hall.
static std::string toText(const FleetMembers &Instances) {
  std::string Out;
  for (const auto &[Address, Hall] : Instances)
    Out += Address.toString() + " " + Hall.value() + "\n";
  return Out;
}

FleetMembers MembershipRecord::read(const platform::Entry &Change) {
  FleetMembers Out;
  std::istringstream Lines(m_Record.read(Change));
  for (std::string Line; std::getline(Lines, Line);) {
    std::size_t Blank = Line.find(' ');
    auto Address = config::Endpoint::parse(Line.substr(0, Blank));
    if (!Address || Blank == std::string::npos) {
      m_Record.logUnreadable(Change);
      return {};
    }
    Out[*Address] = core::DataHallName(Line.substr(Blank + 1));
  }
  return Out;
}

void MembershipRecord::write(const FleetMembers &Instances,
                             core::TimePoint Now) {
  m_Record.write(toText(Instances), Now);
}

} // namespace yardrill::gateway
