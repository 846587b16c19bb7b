//===-- UploadBudget.h - Rate limit of uploads to peers -------------------===//
#ifndef YARDRILL_LIBGATEWAY_UPLOADBUDGET_H
#define YARDRILL_LIBGATEWAY_UPLOADBUDGET_H

#include "LibCore/Time.h"

#include <cstddef>

namespace yardrill::gateway {

/// Limits the rate at which MirrorServer sends state to peers, since callers
/// and targets share the link. Reads no clock; callers pass the time.
class UploadBudget {
public:
  /// \param LinkBytesPerSecond bandwidth of the instance's link.
  explicit UploadBudget(double LinkBytesPerSecond);

  /// Reserves bandwidth for an upload of \p Bytes. \returns false while the
  /// backlog of earlier uploads is too long: another instance can then serve
  /// the peer sooner.
  bool tryTake(std::size_t Bytes, core::TimePoint Now);

private:
  double m_BytesPerSecond;    ///< Bandwidth for uploads.
  core::TimePoint m_FreeAt{}; ///< Time at which all reserved uploads are sent.
};

} // namespace yardrill::gateway

#endif
