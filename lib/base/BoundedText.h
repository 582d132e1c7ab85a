// Bounds texts that quote what other programs wrote, before they become log lines.
#pragma once

#include <string>
#include <string_view>

namespace tamarack {

/// Longest quotation of foreign text in a log line, in bytes.
inline constexpr size_t kMaxQuotedBytes = 240;

/// Returns `aText` on one line: control characters are replaced by question marks, double quotes by
/// single ones, and what exceeds `aMaxBytes` by three dots. A character of UTF-8 is not cut in
/// half.
[[nodiscard]] inline std::string
boundedText(std::string_view aText, size_t aMaxBytes = kMaxQuotedBytes)
{
  size_t end = aText.size();
  if (end > aMaxBytes) {
    end = aMaxBytes;
    while (end > 0 && (static_cast<unsigned char>(aText[end]) & 0xc0) == 0x80) {
      --end;
    }
  }
  std::string text(aText.substr(0, end));
  for (char& character : text) {
    if (static_cast<unsigned char>(character) < 0x20 || character == 0x7f) {
      character = '?';
    } else if (character == '"') {
      character = '\'';
    }
  }
  return end < aText.size() ? text + "..." : text;
}

} // namespace tamarack
