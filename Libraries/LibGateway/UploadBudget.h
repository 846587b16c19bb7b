//===-- UploadBudget.h - How much of the link peers may be sent -----------===//
//
// Pure. Callers and targets share the link with what peers ask for.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_UPLOADBUDGET_H
#define YARDRILL_LIBGATEWAY_UPLOADBUDGET_H

#include "LibCore/Time.h"

#include <cstddef>

namespace yardrill::gateway {

class UploadBudget {
public:
  /// \param LinkBytesPerSecond of the instance's link.
  explicit UploadBudget(double LinkBytesPerSecond);

  /// Counts an upload of \p Bytes, unless those before it are still on their
  /// way: the peer is better served by another one then.
  bool tryTake(std::size_t Bytes, core::TimePoint Now);

private:
  double m_BytesPerSecond;
  core::TimePoint m_FreeAt{}; ///< When all that was counted has passed.
};

} // namespace yardrill::gateway

#endif
