# Install rules and the package that other projects find with find_package(plantainslip).
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

install(TARGETS plantainslip plantainslip_options EXPORT plantainslip-targets)
install(DIRECTORY ${PROJECT_SOURCE_DIR}/include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(
  EXPORT plantainslip-targets
  NAMESPACE plantainslip::
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/plantainslip)
configure_package_config_file(
  ${PROJECT_SOURCE_DIR}/cmake/plantainslip-config.cmake.in
  ${PROJECT_BINARY_DIR}/plantainslip-config.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/plantainslip)
write_basic_package_version_file(${PROJECT_BINARY_DIR}/plantainslip-config-version.cmake
                                 COMPATIBILITY SameMajorVersion)
install(FILES ${PROJECT_BINARY_DIR}/plantainslip-config.cmake
              ${PROJECT_BINARY_DIR}/plantainslip-config-version.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/plantainslip)
