# yuccabeam_module(NAME LIBRARIES ...)
#
# Builds src/yuccabeam/NAME/*.cpp as the library yuccabeam::NAME, and the
# *_test.cpp files beside the sources as the test program NAME_test. Files
# named main.cpp, *_main.cpp or *_bench.cpp belong to programs and are left
# out.
function(yuccabeam_module name)
    cmake_parse_arguments(arg "" "" "LIBRARIES;TEST_LIBRARIES" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    set(tests ${sources})
    list(FILTER sources EXCLUDE REGEX "(_test|_bench|main)\\.cpp$")
    list(FILTER tests INCLUDE REGEX "_test\\.cpp$")

    if(sources)
        add_library(yuccabeam_${name} STATIC ${sources})
        set(scope PUBLIC)
    else()
        add_library(yuccabeam_${name} INTERFACE)
        set(scope INTERFACE)
    endif()
    add_library(yuccabeam::${name} ALIAS yuccabeam_${name})
    target_include_directories(yuccabeam_${name} ${scope}
        ${PROJECT_SOURCE_DIR}/include)
    target_link_libraries(yuccabeam_${name} ${scope} ${arg_LIBRARIES})
    if(sources)
        target_compile_options(yuccabeam_${name} PRIVATE
            -Wall -Wextra -Wpedantic)
    endif()

    if(tests AND NOT YUCCABEAM_GATEWAY_ONLY)
        add_executable(${name}_test ${tests}
            ${PROJECT_SOURCE_DIR}/src/yuccabeam/test_main.cpp)
        target_compile_options(${name}_test PRIVATE -Wall -Wextra)
        target_compile_definitions(${name}_test PRIVATE
            YUCCABEAM_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
        target_link_libraries(${name}_test PRIVATE yuccabeam::${name}
            rapidcheck ${arg_TEST_LIBRARIES})
        add_test(NAME ${name} COMMAND ${name}_test)
        # RapidCheck's seed is fixed so that each run gives the same verdict.
        set_tests_properties(${name} PROPERTIES
            ENVIRONMENT "RC_PARAMS=seed=20261204")
    endif()
endfunction()

# yuccabeam_program(NAME SOURCE LIBRARIES ...)
function(yuccabeam_program name source)
    cmake_parse_arguments(arg "" "" "LIBRARIES" ${ARGN})
    add_executable(${name} ${source})
    target_compile_options(${name} PRIVATE -Wall -Wextra)
    target_link_libraries(${name} PRIVATE ${arg_LIBRARIES})
    set_target_properties(${name} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()
