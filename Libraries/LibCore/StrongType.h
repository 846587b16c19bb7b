//===-- StrongType.h - Distinct types for ids, names and numbers ----------===//
#ifndef YARDRILL_LIBCORE_STRONGTYPE_H
#define YARDRILL_LIBCORE_STRONGTYPE_H

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace yardrill::core {

/// A value of type \p Rep that converts to no other StrongType. \p Tag makes
/// types with the same \p Rep distinct.
template <class Tag, class Rep> class StrongType {
public:
  StrongType() = default;
  explicit StrongType(Rep Value) : m_Value(std::move(Value)) {}

  const Rep &value() const { return m_Value; }

  bool operator==(const StrongType &Other) const {
    return m_Value == Other.m_Value;
  }
  bool operator!=(const StrongType &Other) const { return !(*this == Other); }
  bool operator<(const StrongType &Other) const {
    return m_Value < Other.m_Value;
  }

  /// Serializes the bare value; cereal calls these two functions.
  template <class Archive> Rep save_minimal(const Archive &) const {
    return m_Value;
  }
  template <class Archive>
  void load_minimal(const Archive &, const Rep &Value) {
    m_Value = Value;
  }

private:
  Rep m_Value{};
};

template <class Tag, class Rep>
std::ostream &operator<<(std::ostream &Out, const StrongType<Tag, Rep> &Value) {
  return Out << Value.value();
}

using RequestId = StrongType<struct RequestIdTag, std::uint64_t>;
/// Identifies one run of a process: random, drawn at its start, never reused.
using IncarnationId = StrongType<struct IncarnationIdTag, std::uint64_t>;
using ConfigurationVersion =
    StrongType<struct ConfigurationVersionTag, std::uint64_t>;
/// Priority tier, counted from 1, which is served first.
using TierNumber = StrongType<struct TierNumberTag, std::uint32_t>;
using AccountName = StrongType<struct AccountNameTag, std::string>;
using PoolName = StrongType<struct PoolNameTag, std::string>;
using TargetName = StrongType<struct TargetNameTag, std::string>;
/// Version of a target's software.
using TargetVersion = StrongType<struct TargetVersionTag, std::string>;
/// Start time of a target's incarnation, in milliseconds since the Unix epoch
/// by the target's clock, which may be wrong; 0 when it is not reported.
using TargetStartTime = StrongType<struct TargetStartTimeTag, std::int64_t>;
using InstanceName = StrongType<struct InstanceNameTag, std::string>;
using DataHallName = StrongType<struct DataHallNameTag, std::string>;
/// Area with one or more data halls.
using RegionName = StrongType<struct RegionNameTag, std::string>;

} // namespace yardrill::core

template <class Tag, class Rep>
struct std::hash<yardrill::core::StrongType<Tag, Rep>> {
  std::size_t
  operator()(const yardrill::core::StrongType<Tag, Rep> &Value) const {
    return std::hash<Rep>()(Value.value());
  }
};

#endif
