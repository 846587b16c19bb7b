#include "LibGateway/Rotation.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace yardrill::gateway {

/// Inverse of the golden ratio, whose multiples modulo 1 are evenly spread.
static constexpr double InverseGoldenRatio = 0.6180339887498949;

void Rotation::setSize(std::size_t Size) {
  if (Size == m_Size)
    return;
  m_Size = Size;
  m_Stride = std::max<std::size_t>(
      1,
      static_cast<std::size_t>(static_cast<double>(Size) * InverseGoldenRatio));
  // A stride that shares a divisor with the size would skip part of the list:
  // one of 11 visits only 24 of 264 entries.
  while (std::gcd(m_Stride, m_Size) > 1)
    ++m_Stride;
}

std::size_t Rotation::next() {
  assert(m_Size > 0);
  m_Position = (m_Position + m_Stride) % m_Size;
  return m_Position;
}

} // namespace yardrill::gateway
