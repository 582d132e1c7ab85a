// Checks that the tables of error kinds and events in docs/ match those in the code, which fails
// when an entry is added or reworded in one of the two places only.
#include "base/Errors.h"
#include "base/Events.h"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

using namespace tamarack;

namespace {

/// Returns the rows of the first Markdown table of a file in docs/, without the header rows.
std::vector<std::string>
readTable(const std::string& aFile)
{
  std::ifstream stream(std::string(TAMARACK_DOCS) + "/" + aFile);
  std::vector<std::string> rows;
  bool isInTable = false;
  for (std::string line; std::getline(stream, line);) {
    if (line.starts_with("| ---")) {
      isInTable = true;
    } else if (isInTable && line.starts_with("|")) {
      rows.push_back(line);
    } else if (isInTable) {
      break;
    }
  }
  return rows;
}

/// Returns whether the first cells of a Markdown table row have the given contents.
bool
startsWithCells(const std::string& aRow, std::initializer_list<std::string> aCells)
{
  std::string prefix = "|";
  for (const std::string& cell : aCells) {
    prefix += " " + cell + " |";
  }
  return aRow.starts_with(prefix);
}

} // namespace

TEST_CASE("docs/ERRORS.md lists the same error kinds as errorTable")
{
  const auto rows = readTable("ERRORS.md");
  REQUIRE(rows.size() == kErrorKindCount);
  for (size_t index = 0; index < rows.size(); ++index) {
    const ErrorRow& row = errorTable()[index];
    CHECK(static_cast<size_t>(row.m_kind) == index);
    const std::string name = "`" + std::string(row.m_name) + "`";
    CHECK_MESSAGE(
      startsWithCells(
        rows[index],
        { name, std::string(errorResponseName(row.m_response)), std::string(row.m_meaning) }),
      rows[index]);
  }
}

TEST_CASE("docs/EVENTS.md lists the same events as eventTable, and event numbers are unique")
{
  const auto rows = readTable("EVENTS.md");
  REQUIRE(rows.size() == eventTable().size());
  std::set<EventId> seen;
  for (size_t index = 0; index < rows.size(); ++index) {
    const EventRow& row = eventTable()[index];
    CHECK(seen.insert(row.m_id).second);
    CHECK_MESSAGE(startsWithCells(rows[index],
                                  { std::to_string(static_cast<int>(row.m_id)),
                                    "`" + std::string(row.m_name) + "`",
                                    std::string(row.m_meaning) }),
                  rows[index]);
  }
}
