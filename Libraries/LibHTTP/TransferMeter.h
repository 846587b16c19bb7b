//===-- TransferMeter.h - How fast requests pass through a process --------===//
#ifndef YARDRILL_LIBHTTP_TRANSFERMETER_H
#define YARDRILL_LIBHTTP_TRANSFERMETER_H

#include "LibCore/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace yardrill::http {

/// Measures the transfers of requests: each is read from its caller, and then
/// sent to a target. Link and event loop of the process delay both, while the
/// work of targets and the wait for one delay neither. Reads no clock; not
/// thread-safe.
class TransferMeter {
public:
  /// Time after which a transfer no longer counts: by then its caller has given
  /// up, has nothing to send, or is itself slow.
  static constexpr std::chrono::seconds MaxTransferTime{1};

  TransferMeter() : m_State(std::make_shared<State>()) {}

  /// Returns the number of transfers that are under way.
  std::size_t open(core::TimePoint Now) const;
  /// Returns the transfers that recently completed in a second.
  double completedPerSecond(core::TimePoint Now) const;
  /// Returns the median duration of the latest transfers; none if hardly any
  /// has completed recently.
  std::optional<core::Duration> recentDuration(core::TimePoint Now) const;

private:
  static constexpr std::size_t SampleCount = 16;
  static constexpr std::size_t BucketCount = 10;
  static constexpr std::chrono::milliseconds BucketTime{50};

  struct Sample {
    core::TimePoint m_CompletedAt{};
    core::Duration m_Duration{};
  };
  /// Transfers that completed within one BucketTime.
  struct Bucket {
    std::int64_t m_Number = -1; ///< Time since the epoch, in BucketTime.
    std::size_t m_Completed = 0;
  };
  struct State {
    std::map<std::uint64_t, core::TimePoint> m_Open; ///< Begin of each, by id.
    std::uint64_t m_NextId = 1;
    std::array<Sample, SampleCount> m_Samples;
    std::size_t m_NextSample = 0;
    std::array<Bucket, BucketCount> m_Buckets;
  };
  static std::int64_t bucketNumber(core::TimePoint At) {
    return At.time_since_epoch() / BucketTime;
  }

public:
  /// One transfer after the other. May outlive the meter, as a connection's
  /// coroutine may outlive its server.
  class Transfer {
  public:
    explicit Transfer(const TransferMeter &Meter) : m_Meter(Meter.m_State) {}
    ~Transfer() { abandon(); }
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    bool isOpen() const { return m_Id != 0; }
    /// Begins a transfer, unless one is under way.
    void begin(core::TimePoint Now);
    void complete(core::TimePoint Now);
    /// Ends a transfer that does not complete.
    void abandon();

  private:
    std::shared_ptr<State> m_Meter;
    std::uint64_t m_Id = 0; ///< 0: none is under way.
    core::TimePoint m_BeganAt{};
  };

private:
  std::shared_ptr<State> m_State;
};

} // namespace yardrill::http

#endif
