//===-- QuarantineFormat.h - What the store holds of quarantined contents
//---===//
#ifndef YARDRILL_LIBQUARANTINE_QUARANTINEFORMAT_H
#define YARDRILL_LIBQUARANTINE_QUARANTINEFORMAT_H

#include "LibQuarantine/QuarantineTable.h"

#include <optional>
#include <string>
#include <vector>

namespace yardrill::quarantine {

/// On each line a content, and after blanks the runs that ended under it, in
/// hex; an excused one ends with a minus. In the order of \p Seen, which must
/// have the observations of one content next to each other.
std::string formatObservations(const std::vector<Observation> &Observed);

/// \returns nothing when \p Text is not what formatObservations() gives.
std::optional<std::vector<Observation>>
parseObservations(const std::string &Text);

/// The same text with all runs of \p Content excused. \returns nothing when
/// the text can't be read or does not have it.
std::optional<std::string> withContentCleared(const std::string &Text,
                                              const ContentDigest &Content);

} // namespace yardrill::quarantine

#endif
