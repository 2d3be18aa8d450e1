# Computes an identifier of the sources of the gateway, so that a log tells which ones it was built
# from. Prints it, or writes it to a header if that has another one.
#
#   cmake [-DHEADER=FILE] -P Utilities/source_id.cmake
cmake_minimum_required(VERSION 3.25)
get_filename_component(root "${CMAKE_CURRENT_LIST_DIR}/.." ABSOLUTE)
file(GLOB_RECURSE files LIST_DIRECTORIES false RELATIVE "${root}"
  "${root}/Source/*.cxx" "${root}/Source/*.h" "${root}/include/*.h"
  "${root}/platform/*.cxx" "${root}/platform/*.h")
list(SORT files)
set(digests "")
foreach(file IN LISTS files)
  file(SHA256 "${root}/${file}" digest)
  string(APPEND digests "${file} ${digest}\n")
endforeach()
string(SHA256 id "${digests}")
string(SUBSTRING "${id}" 0 12 id)
if(HEADER)
  file(CONFIGURE OUTPUT "${HEADER}" CONTENT [[
#pragma once

namespace chestnuthead::platform {

inline constexpr const char* digest_of_sources = "@id@";

}  // namespace chestnuthead::platform
]] @ONLY)
else()
  message(NOTICE "${id}")
endif()
