// Compares the whole text of the file, because the modification time is too coarse on some file
// systems to detect every change.
#include "edge/SettingsFile.h"

#include "program/Program.h"

namespace tamarack::edge {

std::optional<absl::StatusOr<EdgeSettings>>
SettingsFile::readIfChanged()
{
  const auto text = program::readFile(m_path);
  std::string textOrError = text.ok() ? *text : std::string(text.status().message());
  if (m_lastTextOrError == textOrError) {
    return std::nullopt;
  }
  m_lastTextOrError = std::move(textOrError);
  if (!text.ok()) {
    return text.status();
  }
  return parseEdgeSettings(*text);
}

absl::StatusOr<EdgeSettings>
SettingsFile::read()
{
  m_lastTextOrError.reset();
  return *readIfChanged();
}

} // namespace tamarack::edge
