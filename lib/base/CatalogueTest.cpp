// The catalogues in docs/ are equal to the code.
#include "base/Errors.h"
#include "base/Events.h"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

using namespace tamarack;

namespace {

/// The rows of the first table of a page, without its head.
std::vector<std::string>
readTable(const std::string& aFile)
{
  std::ifstream stream(std::string(TAMARACK_DOCS) + "/" + aFile);
  std::vector<std::string> rows;
  bool isInside = false;
  for (std::string line; std::getline(stream, line);) {
    if (line.starts_with("| ---")) {
      isInside = true;
    } else if (isInside && line.starts_with("|")) {
      rows.push_back(line);
    } else if (isInside) {
      break;
    }
  }
  return rows;
}

/// Whether a row begins with the given cells.
bool
startsWithCells(const std::string& aRow, std::initializer_list<std::string> aCells)
{
  std::string start = "|";
  for (const std::string& cell : aCells) {
    start += " " + cell + " |";
  }
  return aRow.starts_with(start);
}

} // namespace

TEST_CASE("docs/ERRORS.md shows the table of the code")
{
  const auto rows = readTable("ERRORS.md");
  REQUIRE(rows.size() == kErrorKindCount);
  for (size_t index = 0; index < rows.size(); ++index) {
    const ErrorRow& row = errorTable()[index];
    CHECK(static_cast<size_t>(row.m_kind) == index);
    const std::string name = "`" + std::string(row.m_name) + "`";
    CHECK_MESSAGE(
      startsWithCells(rows[index],
                      { name, std::string(answerName(row.m_answer)), std::string(row.m_meaning) }),
      rows[index]);
  }
}

TEST_CASE("docs/EVENTS.md shows the catalogue of the code")
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
