#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

namespace {

std::string
ReadFile(const std::filesystem::path& aPath)
{
  const std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

const std::filesystem::path kSource = PLANTAINSLIP_SOURCE_FOLDER;

} // namespace

TEST_CASE("every documented error has a number of its own and a line on the errors' page")
{
  const std::string page = ReadFile(kSource / "docs/ERRORS.md");
  const std::regex description("ErrorDescription k\\w+\\{\\s*(\\d+),\\s*\"([^\"]+)\"");
  std::map<std::string, std::string> names;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(kSource / "include/plantainslip")) {
    if (entry.path().filename() != "errors.hpp") {
      continue;
    }
    const std::string header = ReadFile(entry.path());
    for (std::sregex_iterator found(header.begin(), header.end(), description), end; found != end;
         ++found) {
      const std::string number = (*found)[1];
      const std::string name = (*found)[2];
      CHECK_MESSAGE(!names.contains(number), number << " is " << names[number] << " and " << name);
      names[number] = name;
      std::string line = "| ";
      line.append(number).append(" | `").append(name).append("` |");
      CHECK_MESSAGE(page.find(line) != std::string::npos,
                    number << " " << name << " is not on the page");
    }
  }
  CHECK(names.size() > 40);
}
