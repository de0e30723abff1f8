# A library of its own, for its tests.
add_library(boragelug_directory_calls STATIC directory_calls.cpp)
target_link_libraries(boragelug_directory_calls PUBLIC boragelug_node boragelug_drivers)

add_executable(boragelugd boragelugd.cpp caller_packets.cpp entry_process.cpp
  fault_reporter.cpp load_poller.cpp node_admin.cpp
  tagged_admin.cpp tagged_process.cpp total_exporter.cpp)
target_link_libraries(boragelugd PRIVATE boragelug_directory_calls boragelug_node boragelug_drivers boragelug_platform)
target_compile_definitions(boragelugd PRIVATE BORAGELUG_VERSION="${PROJECT_VERSION}")
