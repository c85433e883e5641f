# linenlanding_package(NAME [USES package...] [LIBRARIES target...])
#
# Makes the static library linenlanding_NAME of all sources in the current folder. A package sees its
# own headers and those of the packages it uses, so a cycle between packages does not build.
function(linenlanding_package name)
  cmake_parse_arguments(PACKAGE "" "" "USES;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.c *.cpp)
  add_library(linenlanding_${name} STATIC ${sources})
  target_include_directories(linenlanding_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
  list(TRANSFORM PACKAGE_USES PREPEND linenlanding_)
  target_link_libraries(linenlanding_${name} PUBLIC ${PACKAGE_USES} ${PACKAGE_LIBRARIES})
endfunction()
