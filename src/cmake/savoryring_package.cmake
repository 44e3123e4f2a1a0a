# savoryring_package(NAME SOURCES ... LINKS ... TESTS ...)
# Defines the static library savoryring_<NAME>, and <NAME>_test if there are
# tests and SAVORYRING_TESTS is set.
function(savoryring_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS;TESTS" ${ARGN})
  add_library(savoryring_${name} STATIC ${ARG_SOURCES})
  target_include_directories(savoryring_${name} PUBLIC
    ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/src/include)
  target_link_libraries(savoryring_${name} PUBLIC ${ARG_LINKS})
  if(ARG_TESTS AND SAVORYRING_TESTS)
    add_executable(${name}_test ${ARG_TESTS}
      ${PROJECT_SOURCE_DIR}/src/libbase/test_main.cc)
    target_link_libraries(${name}_test PRIVATE
      savoryring_${name} PkgConfig::CPPUTEST)
    # CppUTest's leak detection redefines `new` as a macro, which breaks the
    # headers of other libraries.
    target_compile_definitions(${name}_test PRIVATE
      CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
    add_test(NAME ${name} COMMAND ${name}_test)
  endif()
endfunction()
