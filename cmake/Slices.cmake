# tamarack_slice(NAME DEPENDS ... LIBRARIES ...) builds one library from the sources of this folder
# and one test program from its *Test.cpp files. A slice without sources is a library of headers.
#
# The layering is enforced: a slice sees the headers of the slices that it depends on and no others,
# because each slice exports its headers through a folder of its own that holds one link.
function(tamarack_slice name)
  cmake_parse_arguments(SLICE "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*Test.cpp)
  if(tests)
    list(REMOVE_ITEM sources ${tests})
  endif()

  set(view ${CMAKE_BINARY_DIR}/include/${name})
  file(MAKE_DIRECTORY ${view})
  file(CREATE_LINK ${CMAKE_CURRENT_SOURCE_DIR} ${view}/${name} SYMBOLIC)

  if(sources)
    add_library(tamarack_${name} STATIC ${sources})
    set(reach PUBLIC)
  else()
    add_library(tamarack_${name} INTERFACE)
    set(reach INTERFACE)
  endif()
  target_include_directories(tamarack_${name} ${reach} ${view})
  foreach(slice ${SLICE_DEPENDS})
    target_link_libraries(tamarack_${name} ${reach} tamarack_${slice})
  endforeach()
  target_link_libraries(tamarack_${name} ${reach} ${SLICE_LIBRARIES})

  if(tests AND NOT TAMARACK_EDGE_ONLY)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE tamarack_${name} tamarack_test_main)
    add_test(NAME ${name} COMMAND ${name}_test)
  endif()
endfunction()
