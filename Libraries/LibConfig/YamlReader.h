//===-- YamlReader.h - Validating reader of YAML mappings -----------------===//
#ifndef YARDRILL_LIBCONFIG_YAMLREADER_H
#define YARDRILL_LIBCONFIG_YAMLREADER_H

#include "LibConfig/Diagnostic.h"
#include "LibConfig/Endpoint.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace yardrill::config {

/// Accepted values of an integer, both bounds included.
struct IntegerRange {
  std::int64_t m_Min;
  std::int64_t m_Max;
};

/// Reads the keys of one YAML mapping for InstanceSettings and
/// FleetConfiguration. An invalid value adds a diagnostic and is replaced by
/// its default or a placeholder, so that one pass reports all errors of a
/// document. Keys that are never read are errors too (reportUnknownKeys()).
class YamlReader {
public:
  /// Adds diagnostics to \p Diagnostics, with \p Path before each key.
  YamlReader(const YAML::Node &Node, std::string Path,
             std::vector<Diagnostic> &Diagnostics);

  /// Parses \p Text; \p File names it in diagnostics.
  /// \throws DocumentError of \p Kind when \p Text is not valid YAML.
  static YAML::Node load(const std::string &Text, const std::string &File,
                         core::ErrorKind Kind);

  bool has(const std::string &Key);
  /// Returns the value of \p Key, or \p Default when it is absent; without a
  /// default the key is required. The other functions with a default do the
  /// same.
  std::string
  readString(const std::string &Key,
             const std::optional<std::string> &Default = std::nullopt);
  std::int64_t readInteger(const std::string &Key, IntegerRange Range,
                           std::optional<std::int64_t> Default = std::nullopt);
  double readNumber(const std::string &Key, double Min, double Max,
                    double Default);
  bool readBoolean(const std::string &Key, bool Default);
  Endpoint readEndpoint(const std::string &Key,
                        const std::optional<Endpoint> &Default = std::nullopt);
  /// Reads a number of milliseconds; \p Key ends in `_ms`.
  core::Duration readMilliseconds(const std::string &Key, IntegerRange Range,
                                  std::optional<std::int64_t> Default);
  std::string
  readChoice(const std::string &Key, const std::vector<std::string> &Allowed,
             const std::optional<std::string> &Default = std::nullopt);
  /// Reads a list; an absent one reads as empty.
  std::vector<std::string> readStrings(const std::string &Key);
  /// Reads a list; an absent one reads as empty.
  std::vector<Endpoint> readEndpoints(const std::string &Key);
  /// Calls \p Read for the mapping at \p Key; an absent one reads as empty.
  void readSection(const std::string &Key,
                   const std::function<void(YamlReader &)> &Read);
  /// Calls \p Read for each mapping of the list at \p Key.
  void readList(const std::string &Key,
                const std::function<void(YamlReader &)> &Read);

  /// Adds a diagnostic at \p Key, for checks that the caller makes itself.
  void reportError(const std::string &Key, const std::string &Problem,
                   const std::string &Allowed);
  /// Reports the keys that no function has read. Called last.
  void reportUnknownKeys();

private:
  /// Keys must be unique (YAML 1.2, section 3.2.1.3), which yaml-cpp does not
  /// check.
  void reportDuplicateKeys();
  /// Returns the node at \p Key and marks the key as read.
  YAML::Node readNode(const std::string &Key);
  std::optional<std::string> readScalar(const std::string &Key, bool IsRequired,
                                        const std::string &Allowed);
  std::string pathOf(const std::string &Key) const;

  YAML::Node m_Node;
  std::string m_Path;
  std::vector<Diagnostic> &m_Diagnostics;
  std::set<std::string> m_ReadKeys;
};

} // namespace yardrill::config

#endif
