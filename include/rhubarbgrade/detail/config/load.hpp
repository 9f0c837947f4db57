#pragma once

#include <map>         // map
#include <string>      // string
#include <string_view> // string_view

#include <rhubarbgrade/detail/base/error.hpp>     // result
#include <rhubarbgrade/detail/config/objects.hpp> // object_set
#include <rhubarbgrade/detail/config/problem.hpp> // problems_t

namespace rhubarbgrade
{

/// @brief The texts of the TOML files of a set, by file name.
using file_texts_t = std::map<std::string, std::string>;

/// @brief Reads all .toml files of a folder; not recursive.
/// @param[in] folder  path of the folder
/// @return the texts, or @ref errc::unreadable
result<file_texts_t> read_folder(const std::string& folder);

/// @brief Adds the objects of one file to a set.
/// @param[in] file          name of the file, for messages
/// @param[in] text          its TOML text
/// @param[in,out] set       receives the objects without problems
/// @param[in,out] problems  receives every problem found
void load_file(const std::string& file, std::string_view text, object_set& set,
               problems_t& problems);

/// @brief Loads the objects of all files.
object_set load_files(const file_texts_t& files, problems_t& problems);

} // namespace rhubarbgrade
