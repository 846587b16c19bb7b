//===-- TermsLedger.h - Whether the terms of targets were kept ------------===//
//
// Targets state limits for all gateways together, ask single gateways for rest,
// and say that they leave. Each is held against what arrives.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SOAK_TERMSLEDGER_H
#define YARDRILL_TESTS_SOAK_TERMSLEDGER_H

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yardrill::soak {

/// What one answer of a target says of it.
struct TargetStatement {
  std::optional<double> m_PerSecond;
  std::optional<std::chrono::milliseconds> m_Rest;
  bool m_IsLeaving = false;
};

class TermsLedger {
public:
  using TimePoint = std::chrono::steady_clock::time_point;
  /// Called with what was broken.
  using Broken = std::function<void(const std::string &)>;

  explicit TermsLedger(Broken Hook) : m_Broken(std::move(Hook)) {}

  /// A run of a target names a limit from now on, or none.
  void limited(const std::string &Run, std::optional<double> PerSecond,
               TimePoint Now);
  /// A gateway got such an answer.
  void stated(const std::string &Run, std::size_t Gateway,
              const TargetStatement &What, TimePoint Now);
  /// A request came.
  /// \param IsExcused whether the gateway's process was disturbed lately.
  void arrived(const std::string &Run, std::size_t Gateway, TimePoint SentAt,
               TimePoint Now, bool IsExcused);
  /// What a gateway was told is gone with its process.
  void forget(std::size_t Gateway);
  /// Checks what takes whole windows.
  void finish();

  std::size_t limits() const { return m_Limits; }
  std::size_t rests() const { return m_Rests; }

private:
  /// A time during which a run named one limit.
  struct Period {
    double m_PerSecond = 0;
    TimePoint m_Begin;
    std::optional<TimePoint> m_End;
    std::vector<TimePoint> m_Arrivals; ///< From those who were told.
  };
  /// What one gateway was told by one run.
  struct Told {
    std::optional<TimePoint> m_Limit;
    std::optional<TimePoint> m_Leaving;
    TimePoint m_RestAskedAt;
    TimePoint m_RestsUntil;
    std::size_t m_InRest = 0;
  };

  void check(const std::string &Run, const Period &Of) const;

  Broken m_Broken;
  std::map<std::string, std::vector<Period>> m_Periods;
  std::map<std::string, std::map<std::size_t, Told>> m_Told;
  std::size_t m_Limits = 0;
  std::size_t m_Rests = 0;
};

} // namespace yardrill::soak

#endif
