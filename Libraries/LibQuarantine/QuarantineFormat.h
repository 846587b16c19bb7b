//===-- QuarantineFormat.h - Text format of the quarantine in the store ---===//
#ifndef YARDRILL_LIBQUARANTINE_QUARANTINEFORMAT_H
#define YARDRILL_LIBQUARANTINE_QUARANTINEFORMAT_H

#include "LibQuarantine/QuarantineTable.h"

#include <optional>
#include <string>
#include <vector>

namespace yardrill::quarantine {

/// Formats observations with one line for each content: its digest, then the
/// incarnations that exited under it, in hex and separated by spaces. A `-`
/// marks a cleared incarnation. Observations of the same content must be
/// adjacent in \p Observed.
std::string formatObservations(const std::vector<Observation> &Observed);

/// Parses the output of formatObservations(). \returns nothing if \p Text is
/// malformed.
std::optional<std::vector<Observation>>
parseObservations(const std::string &Text);

/// Returns \p Text with all incarnations of \p Content cleared, or nothing if
/// the text is malformed or does not contain \p Content.
std::optional<std::string> withContentCleared(const std::string &Text,
                                              const ContentDigest &Content);

} // namespace yardrill::quarantine

#endif
