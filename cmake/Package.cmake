# linenlanding_package(NAME [USES package...] [LIBRARIES target...])
#
# Adds the static library linenlanding_NAME, built from all sources in the current directory. A
# package can include its own headers and those of the packages that it uses, directly or indirectly,
# and no others. A dependency cycle between packages therefore does not build.
function(linenlanding_package name)
  cmake_parse_arguments(PACKAGE "" "" "USES;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.c *.cpp)
  add_library(linenlanding_${name} STATIC ${sources})
  target_include_directories(linenlanding_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
  list(TRANSFORM PACKAGE_USES PREPEND linenlanding_)
  target_link_libraries(linenlanding_${name} PUBLIC ${PACKAGE_USES} ${PACKAGE_LIBRARIES})
endfunction()
