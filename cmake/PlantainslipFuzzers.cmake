# Fuzz targets for libFuzzer; needs Clang: cmake -DCMAKE_CXX_COMPILER=clang++ and
# -DPLANTAINSLIP_BUILD_FUZZERS=ON. scripts/fuzz.sh builds and runs them.
if(NOT CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
  message(FATAL_ERROR "the fuzz targets need Clang, not ${CMAKE_CXX_COMPILER_ID}")
endif()
target_compile_options(plantainslip PRIVATE -fsanitize=fuzzer-no-link,address,undefined)
file(GLOB_RECURSE fuzz_sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/*/fuzz/*.cpp)
foreach(source ${fuzz_sources})
  get_filename_component(name ${source} NAME_WE)
  add_executable(fuzz-${name} ${source} ${PROJECT_SOURCE_DIR}/tests/fakes/memory_store.cpp)
  target_include_directories(fuzz-${name} PRIVATE ${PROJECT_SOURCE_DIR}/src
                                                  ${PROJECT_SOURCE_DIR}/tests)
  target_compile_options(fuzz-${name} PRIVATE -fsanitize=fuzzer,address,undefined)
  target_link_options(fuzz-${name} PRIVATE -fsanitize=fuzzer,address,undefined)
  target_link_libraries(fuzz-${name} PRIVATE plantainslip)
endforeach()
