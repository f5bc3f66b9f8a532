#pragma once

#include <string>

namespace fescue {

/** Frees the memory of the text. Assigning an empty string, or clear(), keeps it. */
inline void free_memory(std::string& text) noexcept
{
    std::string{}.swap(text);
}

} // namespace fescue
