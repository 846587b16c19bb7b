//===-- ByteBudget.h - Bound of the bytes held for all requests -----------===//
#ifndef YARDRILL_LIBHTTP_BYTEBUDGET_H
#define YARDRILL_LIBHTTP_BYTEBUDGET_H

#include <algorithm>
#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

namespace yardrill::http {

/// Bounds the bytes of the bodies that are held at a time, over all requests.
/// Not thread-safe.
class ByteBudget {
public:
  explicit ByteBudget(
      std::size_t Limit = std::numeric_limits<std::size_t>::max())
      : m_State(std::make_shared<State>()) {
    m_State->m_Limit = Limit;
  }

  std::size_t used() const { return m_State->m_Used; }
  /// Returns the most bytes that were held at a time.
  std::size_t peak() const { return m_State->m_Peak; }

private:
  struct State {
    std::size_t m_Limit = 0;
    std::size_t m_Used = 0;
    std::size_t m_Peak = 0;
  };

public:
  /// Holds a part of the budget, and returns it when destroyed. May outlive the
  /// budget, as a connection's coroutine may outlive its server.
  class Reservation {
  public:
    explicit Reservation(ByteBudget &Budget) : m_Budget(Budget.m_State) {}
    ~Reservation() { release(); }
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;

    /// Raises the reservation to \p Bytes. \returns whether the budget allows
    /// that; if not, the reservation stays as it is.
    bool tryExtend(std::size_t Bytes) {
      if (Bytes <= m_Bytes)
        return true;
      if (Bytes - m_Bytes > m_Budget->m_Limit - m_Budget->m_Used)
        return false;
      m_Budget->m_Used += Bytes - m_Bytes;
      m_Budget->m_Peak = std::max(m_Budget->m_Peak, m_Budget->m_Used);
      m_Bytes = Bytes;
      return true;
    }
    void release() { m_Budget->m_Used -= std::exchange(m_Bytes, 0); }

  private:
    std::shared_ptr<State> m_Budget;
    std::size_t m_Bytes = 0;
  };

private:
  std::shared_ptr<State> m_State;
};

} // namespace yardrill::http

#endif
