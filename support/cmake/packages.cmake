# Helpers of the workspace: a package is a folder with its headers, sources
# and tests beside each other.

set(KESTRELREEL_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wconversion
                         -Wnon-virtual-dtor -Werror)
if(KESTRELREEL_SANITIZE)
  add_compile_options(-fsanitize=${KESTRELREEL_SANITIZE}
                      -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${KESTRELREEL_SANITIZE})
  # gcc sees uninitialized values where the sanitizers' code stands.
  list(APPEND KESTRELREEL_WARNINGS -Wno-maybe-uninitialized)
endif()

if(KESTRELREEL_FUZZ)
  # The warnings are gcc's; what it builds is judged by the other presets.
  set(KESTRELREEL_WARNINGS "")
  add_compile_options(-fsanitize=fuzzer-no-link)
endif()

# kestrelreel_package(NAME SOURCES a.cc b.cc LIBRARIES base ...)
# Other packages are named plainly, libraries by their target.
function(kestrelreel_package name)
  cmake_parse_arguments(arg "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_library(kestrelreel_${name} STATIC ${arg_SOURCES})
  target_compile_options(kestrelreel_${name} PRIVATE ${KESTRELREEL_WARNINGS})
  target_include_directories(kestrelreel_${name} PUBLIC ${PROJECT_SOURCE_DIR})
  foreach(library ${arg_LIBRARIES})
    if(TARGET kestrelreel_${library})
      set(library kestrelreel_${library})
    endif()
    target_link_libraries(kestrelreel_${name} PUBLIC ${library})
  endforeach()
endfunction()

# kestrelreel_test(PACKAGE [NAME name] a-test.cc ...): one test program for the
# package, or another one under its own name.
function(kestrelreel_test package)
  cmake_parse_arguments(arg "" "NAME" "" ${ARGN})
  set(name ${package})
  if(arg_NAME)
    set(name ${arg_NAME})
  endif()
  add_executable(${name}-test ${arg_UNPARSED_ARGUMENTS}
                 ${PROJECT_SOURCE_DIR}/support/test-main.cc)
  target_compile_options(${name}-test PRIVATE ${KESTRELREEL_WARNINGS})
  target_include_directories(${name}-test PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name}-test PRIVATE kestrelreel_${package}
                        ${CPPUTEST_LIBRARY})
  # CppUTest's leak check redefines `new`, which library headers don't survive.
  target_compile_definitions(${name}-test PRIVATE
                             CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  add_test(NAME ${name} COMMAND ${name}-test)
endfunction()
