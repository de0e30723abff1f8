# Everything but main(), so that tests can link it.
file(GLOB BORAGELUGCTL_SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/boragelugctl/*.cpp)
list(REMOVE_ITEM BORAGELUGCTL_SOURCES ${CMAKE_CURRENT_SOURCE_DIR}/boragelugctl/main.cpp)
add_library(boragelug_programs STATIC ${BORAGELUGCTL_SOURCES})
target_link_libraries(boragelug_programs PUBLIC boragelug_drivers boragelug_platform)
target_compile_definitions(boragelug_programs PRIVATE BORAGELUG_VERSION="${PROJECT_VERSION}")

add_executable(boragelugctl boragelugctl/main.cpp)
target_link_libraries(boragelugctl PRIVATE boragelug_programs)

# Tests check the example files in the source tree.
target_compile_definitions(boragelug_programs INTERFACE BORAGELUG_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
