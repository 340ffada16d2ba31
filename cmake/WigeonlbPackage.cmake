# Declares packages, programs and unit tests.
#
#   wigeonlb_package(<name>
#     SOURCES <files...>      every file of the package, headers included
#     NEEDS <packages...>     packages of this project, declared earlier
#     LIBRARIES <targets...>) system libraries
#
# Creates the library target wigeonlb_<name>. NEEDS accepts only packages that
# are already declared, which rules out cycles and upward dependencies.
function(wigeonlb_package aName)
  cmake_parse_arguments(P "" "" "SOURCES;NEEDS;LIBRARIES" ${ARGN})
  add_library(wigeonlb_${aName} STATIC ${P_SOURCES})
  wigeonlb_configure(wigeonlb_${aName} "${P_NEEDS}" "${P_LIBRARIES}")
endfunction()

# Declares an executable target <name>. Arguments as for wigeonlb_package.
function(wigeonlb_program aName)
  cmake_parse_arguments(P "" "" "SOURCES;NEEDS;LIBRARIES" ${ARGN})
  add_executable(${aName} ${P_SOURCES})
  wigeonlb_configure(${aName} "${P_NEEDS}" "${P_LIBRARIES}")
endfunction()

# Declares the unit tests of one module: the Catch2 program test_<name>, which is
# registered with CTest as <name>. Does nothing with WIGEONLB_TESTS=OFF.
function(wigeonlb_tests aName)
  if(NOT WIGEONLB_TESTS)
    return()
  endif()
  cmake_parse_arguments(P "" "" "SOURCES;NEEDS;LIBRARIES;DEFINITIONS" ${ARGN})
  add_executable(test_${aName} ${P_SOURCES})
  wigeonlb_configure(test_${aName} "${P_NEEDS}" "${P_LIBRARIES}")
  target_link_libraries(test_${aName} PRIVATE wigeonlb_testmain)
  target_compile_definitions(test_${aName} PRIVATE
    WIGEONLB_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/tests/data"
    ${P_DEFINITIONS})
  add_test(NAME ${aName} COMMAND test_${aName})
  set_tests_properties(${aName} PROPERTIES TIMEOUT 240)
endfunction()

# Sets the include folders, warnings and dependencies that all targets share.
function(wigeonlb_configure aTarget aNeeds aLibraries)
  target_include_directories(${aTarget} PUBLIC
    ${CMAKE_SOURCE_DIR}/packages ${CMAKE_SOURCE_DIR})
  target_compile_options(${aTarget} PRIVATE
    -Wall -Wextra -Wno-missing-field-initializers)
  foreach(need IN LISTS aNeeds)
    if(NOT TARGET wigeonlb_${need})
      message(FATAL_ERROR "${aTarget} needs ${need}, which is not declared before it")
    endif()
    target_link_libraries(${aTarget} PUBLIC wigeonlb_${need})
  endforeach()
  target_link_libraries(${aTarget} PUBLIC ${aLibraries} Threads::Threads)
endfunction()
