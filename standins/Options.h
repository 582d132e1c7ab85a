// Option parsing of the stand-ins: every option has a value and a default.
#pragma once

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <popt.h>
#include <string>
#include <vector>

namespace standin {

/// Reads `--name VALUE` options into `aValues`, which holds the names and defaults. Ends the
/// program on a mistake.
inline void
readOptions(int aCount, const char** aWords, std::map<std::string, std::string>& aValues)
{
  std::vector<std::string> names;
  std::vector<char*> given(aValues.size());
  for (const auto& [name, value] : aValues) {
    names.push_back(name);
  }
  std::vector<poptOption> table;
  for (size_t index = 0; index < names.size(); ++index) {
    table.push_back(
      { names[index].c_str(), 0, POPT_ARG_STRING, &given[index], 0, "see the source", "VALUE" });
  }
  poptOption help[] = { POPT_AUTOHELP POPT_TABLEEND };
  table.push_back(help[0]);
  table.push_back(help[1]);
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext(aWords[0], aCount, aWords, table.data(), 0), &poptFreeContext);
  const int status = poptGetNextOpt(context.get());
  if (status < -1) {
    std::cerr << aWords[0] << ": " << poptBadOption(context.get(), 0) << ": "
              << poptStrerror(status) << "\n";
    std::exit(2);
  }
  for (size_t index = 0; index < names.size(); ++index) {
    if (given[index] != nullptr) {
      aValues[names[index]] = given[index];
      std::free(given[index]);
    }
  }
}

} // namespace standin
