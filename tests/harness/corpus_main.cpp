// Runs one fuzz target over every file of its corpus, in order of the names. A case that the target
// does not survive ends the process, so its name is printed first.

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aLength);

int
main()
{
  std::vector<std::filesystem::path> cases;
  for (const auto& entry : std::filesystem::directory_iterator(PLANTAINSLIP_CORPUS_FOLDER)) {
    cases.push_back(entry.path());
  }
  std::sort(cases.begin(), cases.end());
  for (const auto& path : cases) {
    std::cout << path.filename().string() << std::endl;
    std::ifstream file(path, std::ios::binary);
    const std::vector<char> bytes{ std::istreambuf_iterator<char>(file), {} };
    const std::vector<std::uint8_t> input(bytes.begin(), bytes.end());
    LLVMFuzzerTestOneInput(input.data(), input.size());
  }
  std::cout << cases.size() << " cases passed\n";
  return cases.empty() ? 1 : 0;
}
