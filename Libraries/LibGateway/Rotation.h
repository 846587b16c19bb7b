//===-- Rotation.h - Visits a list in an evenly spread order --------------===//
#ifndef YARDRILL_LIBGATEWAY_ROTATION_H
#define YARDRILL_LIBGATEWAY_ROTATION_H

#include <cstddef>

namespace yardrill::gateway {

/// Yields the indexes of a list so that each occurs once before any repeats and
/// successive ones lie far apart. PeerService spreads its reports to the peers
/// of other groups by it.
class Rotation {
public:
  /// Changes the size of the list and continues from the last index.
  void setSize(std::size_t Size);
  /// Returns the next index. \pre The size is not 0.
  std::size_t next();

private:
  std::size_t m_Size = 0;
  std::size_t m_Stride = 1;
  std::size_t m_Position = 0;
};

} // namespace yardrill::gateway

#endif
