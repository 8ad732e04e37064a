# Shared build rules of every package in the workspace.
include_guard(GLOBAL)

set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()

include(CTest)

set(FULMAR_WORKSPACE_ROOT "${CMAKE_CURRENT_LIST_DIR}/../..")
option(FULMAR_SANITIZE "Build with AddressSanitizer and UndefinedBehaviorSanitizer" OFF)

add_library(FulmarBuildOptions INTERFACE)
target_compile_options(FulmarBuildOptions INTERFACE -Wall -Wextra -Werror -Wno-missing-field-initializers)
if(FULMAR_SANITIZE)
    # Optimised a little: the tests run several times faster and the checks stay the same.
    target_compile_options(FulmarBuildOptions INTERFACE -O1 -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer -Wno-maybe-uninitialized)
    target_link_options(FulmarBuildOptions INTERFACE -fsanitize=address,undefined)
endif()

# Declares a static library package below Libraries/. Usage:
#   fulmar_library(LibThing STANDARD 20 SOURCES a.cpp PUBLIC LibModel PRIVATE yaml-cpp)
function(fulmar_library NAME)
    cmake_parse_arguments(ARG "" "STANDARD" "SOURCES;PUBLIC;PRIVATE" ${ARGN})
    if(NOT ARG_STANDARD)
        set(ARG_STANDARD 20)
    endif()
    add_library(${NAME} STATIC ${ARG_SOURCES})
    target_include_directories(${NAME} PUBLIC "${FULMAR_WORKSPACE_ROOT}/Libraries")
    set_target_properties(${NAME} PROPERTIES CXX_STANDARD ${ARG_STANDARD} CXX_STANDARD_REQUIRED ON)
    target_link_libraries(${NAME} PUBLIC ${ARG_PUBLIC} PRIVATE FulmarBuildOptions ${ARG_PRIVATE})
endfunction()

# Declares a program. INSTALL makes it one of the installed programs.
function(fulmar_program NAME)
    cmake_parse_arguments(ARG "INSTALL" "" "SOURCES;LINK" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_include_directories(${NAME} PRIVATE "${FULMAR_WORKSPACE_ROOT}")
    set_target_properties(${NAME} PROPERTIES CXX_STANDARD 20 CXX_STANDARD_REQUIRED ON)
    target_link_libraries(${NAME} PRIVATE FulmarBuildOptions ${ARG_LINK})
    if(ARG_INSTALL)
        install(TARGETS ${NAME} RUNTIME)
    endif()
endfunction()

# Declares a test program and registers it with CTest.
function(fulmar_test NAME)
    cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;LINK;ARGS" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 300)
    endif()
    fulmar_program(${NAME} SOURCES ${ARG_SOURCES} LINK ${ARG_LINK} GTest::gtest GTest::gtest_main rapidcheck)
    add_test(NAME ${NAME} COMMAND ${NAME} ${ARG_ARGS})
    set_tests_properties(${NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT} ENVIRONMENT "RC_PARAMS=seed=1;LSAN_OPTIONS=suppressions=${FULMAR_WORKSPACE_ROOT}/Meta/lsan-suppressions.txt:print_suppressions=0")
endfunction()
