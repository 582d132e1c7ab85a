// Reads the settings file of a running process and detects changes of it.
#pragma once

#include "edge/EdgeSettings.h"

#include <optional>

namespace tamarack::edge {

class SettingsFile
{
public:
  explicit SettingsFile(std::string aPath)
    : m_path(std::move(aPath))
  {
  }

  /// Reads the file. Returns its settings or the error, or nothing if neither the text nor the
  /// error has changed since the last call.
  [[nodiscard]] std::optional<absl::StatusOr<EdgeSettings>> readIfChanged();

  /// Reads the file and returns its settings or the error, changed or not.
  [[nodiscard]] absl::StatusOr<EdgeSettings> read();

private:
  std::string m_path;
  /// The text that was last read, or the error if the file could not be read. It is compared
  /// instead of the settings in force, so that an invalid file or a change that needs a restart is
  /// reported only once.
  std::optional<std::string> m_lastTextOrError;
};

} // namespace tamarack::edge
