find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(THRIFT REQUIRED IMPORTED_TARGET thrift)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_package(absl CONFIG REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(Boost REQUIRED COMPONENTS log)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json REQUIRED)
if(NOT BORAGELUG_DAEMON_ONLY)
  find_package(GTest REQUIRED)
  find_package(rapidcheck REQUIRED)
  find_package(benchmark REQUIRED)
endif()

# Compiler settings shared by all of the project's own targets.
add_library(boragelug_options INTERFACE)
target_compile_options(boragelug_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror)
# GCC 12 reports a false overlap for text + std::string in fully optimized code (GCC bug 105651).
target_compile_options(boragelug_options INTERFACE $<$<CONFIG:Release>:-Wno-error=restrict>)
target_include_directories(boragelug_options INTERFACE ${PROJECT_SOURCE_DIR})
if(BORAGELUG_SANITIZE)
  target_compile_options(boragelug_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=all
                                                     -fno-omit-frame-pointer)
  target_link_options(boragelug_options INTERFACE -fsanitize=address,undefined)
endif()

if(BORAGELUG_FUZZ)
  # GCC does not include sign conversions in -Wconversion. The fuzzer has a main() of its own in each target.
  target_compile_options(boragelug_options INTERFACE -Wno-sign-conversion -fsanitize=fuzzer-no-link,address,undefined
                                                     -fno-sanitize-recover=all)
  target_link_options(boragelug_options INTERFACE -fsanitize=address,undefined)
endif()

# Adds the library of one layer from all of its .cpp files.
function(boragelug_layer NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(SOURCES)
    add_library(boragelug_${NAME} STATIC ${SOURCES})
    target_link_libraries(boragelug_${NAME} PUBLIC boragelug_options ${ARGN})
  else()
    add_library(boragelug_${NAME} INTERFACE)
    target_link_libraries(boragelug_${NAME} INTERFACE boragelug_options ${ARGN})
  endif()
endfunction()
