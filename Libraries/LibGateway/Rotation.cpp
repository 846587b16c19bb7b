#include "LibGateway/Rotation.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace yardrill::gateway {

/// Multiples of it lie evenly over the list.
static constexpr double GoldenRatio = 0.6180339887498949;

void Rotation::setSize(std::size_t Size) {
  if (Size == m_Size)
    return;
  m_Size = Size;
  m_Stride = std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(Size) * GoldenRatio));
  // Only a stride that has no divisor in common with the size meets all: one of
  // 11 met 24 of 264.
  while (std::gcd(m_Stride, m_Size) > 1)
    ++m_Stride;
}

std::size_t Rotation::next() {
  assert(m_Size > 0);
  m_Position = (m_Position + m_Stride) % m_Size;
  return m_Position;
}

} // namespace yardrill::gateway
