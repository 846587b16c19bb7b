//===-- Rotation.h - Everyone's turn, spread over the whole list ----------===//
#ifndef YARDRILL_LIBGATEWAY_ROTATION_H
#define YARDRILL_LIBGATEWAY_ROTATION_H

#include <cstddef>

namespace yardrill::gateway {

/// Pure. Indexes of a list in an order that meets each one once before any
/// comes again, and whose neighbours lie far apart.
class Rotation {
public:
  /// Goes on from where it stands.
  void setSize(std::size_t Size);
  /// \pre The size is not 0.
  std::size_t next();

private:
  std::size_t m_Size = 0;
  std::size_t m_Stride = 1;
  std::size_t m_Position = 0;
};

} // namespace yardrill::gateway

#endif
