# Helpers that keep each library's CMakeLists.txt down to a few lines.

# samphirebank_library(NAME <name> SRCS <files> [DEPS <targets>])
function(samphirebank_library)
  cmake_parse_arguments(ARG "" "NAME" "SRCS;DEPS" ${ARGN})
  add_library(${ARG_NAME} STATIC ${ARG_SRCS})
  target_link_libraries(${ARG_NAME} PUBLIC ${ARG_DEPS})
endfunction()

# samphirebank_test(NAME <name> SRCS <files> [DEPS <targets>])
# Seeds of rapidcheck are fixed, so a run gives the same verdict each time.
function(samphirebank_test)
  cmake_parse_arguments(ARG "" "NAME" "SRCS;DEPS" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SRCS})
  target_link_libraries(${ARG_NAME} PRIVATE doctest_main ${ARG_DEPS})
  add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME})
  set_tests_properties(${ARG_NAME} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204"
    TIMEOUT 300)
endfunction()

# samphirebank_benchmark(NAME <name> SRCS <files> [DEPS <targets>])
function(samphirebank_benchmark)
  cmake_parse_arguments(ARG "" "NAME" "SRCS;DEPS" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SRCS})
  target_link_libraries(${ARG_NAME} PRIVATE benchmark benchmark_main ${ARG_DEPS})
endfunction()
