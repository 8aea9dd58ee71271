# Compiler options of every target of this project; they are not handed on to users of the library.
# -Wnull-dereference is left out, since GCC 12 reports it inside the headers of Boost and libstdc++,
# and -Wmismatched-new-delete, since it takes the coroutine frames of Boost.Asio 1.74, whose class
# has both operators, for a mismatch once one of them is inlined.
add_library(plantainslip_options INTERFACE)
target_compile_options(
  plantainslip_options
  INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wsign-conversion -Wold-style-cast
            -Wnon-virtual-dtor -Woverloaded-virtual -Wcast-align -Wno-mismatched-new-delete -Werror)
if(PLANTAINSLIP_SANITIZER)
  target_compile_options(plantainslip_options INTERFACE -fsanitize=${PLANTAINSLIP_SANITIZER}
                                                        -fno-omit-frame-pointer)
  target_link_options(plantainslip_options INTERFACE -fsanitize=${PLANTAINSLIP_SANITIZER})
endif()
find_program(PLANTAINSLIP_CCACHE ccache)
if(PLANTAINSLIP_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${PLANTAINSLIP_CCACHE})
endif()
