#include "LibInstance/ThresholdRecordService.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibInstance/InstanceRefJson.h"

#include <boost/json.hpp>

namespace yardrill::instance {

namespace json = boost::json;
using core::Error;
using platform::CallClass;

static std::string prefixOf(const core::PoolName &Pool) {
  return "/yardrill/floor/" + Pool.value() + "/";
}

static std::string toJson(const decision::ThresholdRecord &Record) {
  json::array Members;
  for (const decision::InstanceRef &Member : Record.m_Members)
    Members.push_back(toJson(Member));
  return json::serialize(json::object{{"epoch", Record.m_Epoch},
                                      {"leader", toJson(Record.m_Leader)},
                                      {"members", Members}});
}

static decision::ThresholdRecord toRecord(const std::string &Text) {
  json::value Parsed = json::parse(Text);
  const json::object &Object = Parsed.as_object();
  decision::ThresholdRecord Out;
  Out.m_Epoch = Object.at("epoch").to_number<std::uint64_t>();
  Out.m_Leader = toInstanceRef(Object.at("leader"));
  for (const json::value &Member : Object.at("members").as_array())
    Out.m_Members.push_back(toInstanceRef(Member));
  return Out;
}

std::optional<decision::ThresholdRecordRead>
ThresholdRecordService::read(const core::PoolName &Pool,
                             boost::asio::yield_context Yield) {
  decision::ThresholdRecordRead Out;
  Out.m_Pool = Pool;
  std::string Prefix = prefixOf(Pool);
  try {
    for (const platform::Entry &Item :
         m_Service.readPrefix(Prefix, CallClass::Control, Yield)) {
      if (Item.m_Key == Prefix + "leader")
        Out.m_IsLeaderLive = true;
      if (Item.m_Key != Prefix + "record")
        continue;
      Out.m_Revision = Item.m_ModRevision.value();
      Out.m_Record = toRecord(Item.m_Value);
    }
    return Out;
  } catch (const std::exception &Failure) {
    core::LogLine("floor-record-unread", core::LogLevel::Warning)
        .add("pool", Pool)
        .add("reason", Failure.what());
    return std::nullopt;
  }
}

decision::ThresholdRecordWritten
ThresholdRecordService::write(const decision::WriteThresholdRecord &Action,
                              boost::asio::yield_context Yield) {
  decision::ThresholdRecordWritten Out;
  Out.m_Pool = Action.m_Pool;
  try {
    if (!m_Lease)
      m_Lease = m_Service.grantLease(LeaseDuration, CallClass::Control, Yield);
    std::string Prefix = prefixOf(Action.m_Pool);
    platform::CompareAndSwap Swap;
    Swap.m_Key = Prefix + "record";
    Swap.m_Expected = platform::Revision(Action.m_Revision);
    Swap.m_Puts.push_back({Swap.m_Key, toJson(Action.m_Record), std::nullopt});
    Swap.m_Puts.push_back({Prefix + "leader",
                           Action.m_Record.m_Leader.m_Peer.toString(),
                           m_Lease});
    auto Result = m_Service.compareAndSwap(Swap, CallClass::Control, Yield);
    Out.m_IsWritten = Result.m_IsSwapped;
    Out.m_Revision = Result.m_Revision.value();
  } catch (const Error &Failure) {
    // The write may have failed because the lease has expired.
    m_Lease.reset();
    core::LogLine("floor-record-unwritten", core::LogLevel::Warning)
        .add("pool", Action.m_Pool)
        .add("reason", Failure.what());
  }
  return Out;
}

void ThresholdRecordService::resign(boost::asio::yield_context Yield) {
  if (!m_Lease)
    return;
  platform::LeaseId Lease = *m_Lease;
  m_Lease.reset();
  try {
    m_Service.revoke(Lease, Yield);
  } catch (const Error &) {
    // The lease expires without keep-alives.
  }
}

void ThresholdRecordService::keepAlive(boost::asio::yield_context Yield) {
  if (!m_Lease)
    return;
  try {
    if (!m_Service.keepAlive(*m_Lease, Yield))
      m_Lease.reset();
  } catch (const Error &) {
    // Retried after KeepAlivePeriod; the lease may expire before.
  }
}

} // namespace yardrill::instance
