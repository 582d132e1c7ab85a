// Implements the record.
#include "Record.h"

#include "Loop.h"

#include <iomanip>
#include <iostream>

namespace review {

Record::Record(const std::string& aFile)
  : m_file(aFile)
  , m_startedAt(steadyMs())
{
}

int64_t
Record::now() const
{
  return steadyMs() - m_startedAt;
}

void
Record::add(const std::string& aText)
{
  m_file << std::fixed << std::setprecision(3) << static_cast<double>(now()) / 1000 << " " << aText
         << "\n";
}

void
Record::addResult(const std::string& aText)
{
  add(aText);
  m_file.flush();
  std::cout << aText << std::endl;
}

} // namespace review
