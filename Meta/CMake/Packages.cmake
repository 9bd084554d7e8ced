# Settings and functions for all libraries, programs and tests.

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_package(OpenSSL REQUIRED)
find_package(ZLIB REQUIRED)
if(COMFREYRILL_TESTS)
  find_package(GTest REQUIRED)
  find_package(benchmark REQUIRED)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()

find_path(THRIFT_INCLUDE_DIRECTORY thrift/Thrift.h REQUIRED)
find_library(THRIFT_LIBRARY thrift REQUIRED)
find_path(DOCOPT_INCLUDE_DIRECTORY docopt/docopt.h REQUIRED)
find_library(DOCOPT_LIBRARY docopt REQUIRED)
find_path(EASYLOGGING_DIRECTORY easylogging++.cc REQUIRED)

add_compile_options(-Wall -Wextra -Werror -fno-omit-frame-pointer)
# g++ 12 reports the custom allocation of Asio's coroutine frames as a mismatch of
# new and delete.
add_compile_options($<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
add_compile_definitions(BOOST_ASIO_NO_DEPRECATED)
if(COMFREYRILL_SANITIZERS)
  add_compile_options(-fsanitize=${COMFREYRILL_SANITIZERS} -fno-sanitize-recover=all)
  add_link_options(-fsanitize=${COMFREYRILL_SANITIZERS})
endif()

# Precompiles the Asio and Beast headers, which take several seconds to parse in
# each source file that uses them.
function(comfreyrill_precompile Target)
  if(COMFREYRILL_PRECOMPILED_HEADERS)
    target_precompile_headers(${Target} PRIVATE <boost/asio.hpp> <boost/beast.hpp>)
  endif()
endfunction()

# comfreyrill_library(LibX SOURCES a.cpp b.cpp [DEPENDS LibY boost ...])
function(comfreyrill_library Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${Name} STATIC ${Arg_SOURCES})
  target_include_directories(${Name} PUBLIC ${CMAKE_SOURCE_DIR}/Libraries)
  target_link_libraries(${Name} PUBLIC ${Arg_DEPENDS})
endfunction()

# comfreyrill_test(TestLibX SOURCES TestA.cpp [DEPENDS LibX ...])
function(comfreyrill_test Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Name} ${Arg_SOURCES})
  target_include_directories(${Name} PRIVATE ${CMAKE_SOURCE_DIR}/Libraries ${CMAKE_SOURCE_DIR}/Tests)
  target_link_libraries(${Name} PRIVATE ${Arg_DEPENDS} GTest::gtest_main ${RAPIDCHECK_LIBRARY} Threads::Threads)
  add_test(NAME ${Name} COMMAND ${Name})
  # A fixed seed gives each run the same result; RapidCheck prints the seed on failure.
  set_tests_properties(${Name} PROPERTIES TIMEOUT 120 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
