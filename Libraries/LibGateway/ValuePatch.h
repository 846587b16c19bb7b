//===-- ValuePatch.h - Binary differences between values ------------------===//
//
// A patch is a Zstandard frame (RFC 8878) of the newer value, compressed with
// the older one as its prefix, so that common parts are encoded as references.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_VALUEPATCH_H
#define YARDRILL_LIBGATEWAY_VALUEPATCH_H

#include <string>
#include <string_view>

namespace yardrill::gateway {

/// Returns a patch from \p Base to \p Value.
/// \param Base value that the receiver has; may be empty.
/// \throws core::Error of kind LimitExceeded if compression fails.
std::string makePatch(std::string_view Base, std::string_view Value);

/// Returns the value that makePatch() encoded with the same \p Base.
/// \throws core::Error of kind Protocol if the patch is damaged or has another
/// base, and of kind LimitExceeded if the value would exceed \p MaxBytes.
std::string applyPatch(std::string_view Base, std::string_view Patch,
                       std::size_t MaxBytes);

} // namespace yardrill::gateway

#endif
