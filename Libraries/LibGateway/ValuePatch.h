//===-- ValuePatch.h - A value, told by how it differs from another -------===//
//
// By Zstandard (RFC 8878), with the older value as the content that goes before
// the newer one: what stands in both is told by its place.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_VALUEPATCH_H
#define YARDRILL_LIBGATEWAY_VALUEPATCH_H

#include <string>
#include <string_view>

namespace yardrill::gateway {

/// \param Base what the receiver has; empty: nothing.
/// \throws core::Error of kind LimitExceeded when the library fails.
std::string makePatch(std::string_view Base, std::string_view Value);

/// \returns the value that makePatch() was given, with the same \p Base.
/// \throws core::Error of kind Protocol when the patch is damaged or was made
/// from another base, and of kind LimitExceeded when the value would be larger
/// than \p MaxBytes.
std::string applyPatch(std::string_view Base, std::string_view Patch,
                       std::size_t MaxBytes);

} // namespace yardrill::gateway

#endif
