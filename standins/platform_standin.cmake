add_library(boragelug_platform_standin STATIC platform_standin.cpp)
    target_link_libraries(boragelug_platform_standin PUBLIC boragelug_drivers)
        add_executable(platform_standin platform_standin_main.cpp)
            target_link_libraries(platform_standin PRIVATE boragelug_platform_standin)
