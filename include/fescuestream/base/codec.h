#pragma once

/**
 * @file
 * Binary serialization with cereal. Input is validated: a length that exceeds the remaining bytes
 * is rejected before memory is allocated for it.
 */

#include "fescuestream/base/error.h"

#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>

namespace fescue {

namespace internal {

/** Bounds-checked input archive that reads from a byte view without copying it. */
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
public:
    explicit bounded_input_archive(std::string_view bytes)
        : cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>{this},
          remaining_{bytes}
    {
    }
    std::size_t remaining() const noexcept { return remaining_.size(); }

    void read(void* out, std::size_t size)
    {
        if (size > remaining_.size()) {
            throw cereal::Exception{"unexpected end of input"};
        }
        if (size == 0) {
            // The destination of an empty vector may be null, which memcpy() does not allow.
            return;
        }
        std::memcpy(out, remaining_.data(), size);
        remaining_.remove_prefix(size);
    }

    /** Reads an element count; each element takes at least one byte. */
    std::uint64_t read_count()
    {
        std::uint64_t count = 0;
        read(&count, sizeof count);
        if (count > remaining_.size()) {
            throw cereal::Exception{"length exceeds the remaining input"};
        }
        return count;
    }

private:
    std::string_view remaining_;
};

/** Output archive that appends to a string, or only counts the bytes; the counterpart of
 * bounded_input_archive. */
class string_output_archive
    : public cereal::OutputArchive<string_output_archive, cereal::AllowEmptyClassElision> {
public:
    /** @param out nullptr: the bytes are only counted. */
    explicit string_output_archive(std::string* out)
        : cereal::OutputArchive<string_output_archive, cereal::AllowEmptyClassElision>{this},
          out_{out}
    {
    }
    std::size_t size() const noexcept { return size_; }
    void write(const void* data, std::size_t size)
    {
        size_ += size;
        if (out_ != nullptr) {
            out_->append(static_cast<const char*>(data), size);
        }
    }

private:
    std::string* out_;
    std::size_t size_{0};
};

} // namespace internal

} // namespace fescue

CEREAL_REGISTER_ARCHIVE(fescue::internal::bounded_input_archive)
CEREAL_REGISTER_ARCHIVE(fescue::internal::string_output_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(fescue::internal::bounded_input_archive,
                            fescue::internal::string_output_archive)

namespace cereal {

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_SAVE_FUNCTION_NAME(fescue::internal::string_output_archive& archive, const T& value)
{
    archive.write(&value, sizeof value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(fescue::internal::string_output_archive& archive,
                               const BinaryData<T>& value)
{
    archive.write(value.data, static_cast<std::size_t>(value.size));
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(fescue::internal::string_output_archive& archive,
                               const NameValuePair<T>& value)
{
    archive(value.value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(fescue::internal::string_output_archive& archive,
                               const SizeTag<T>& value)
{
    const auto count = static_cast<std::uint64_t>(value.size);
    archive.write(&count, sizeof count);
}

template <class T>
std::enable_if_t<std::is_arithmetic_v<T> && !std::is_same_v<T, bool>>
CEREAL_LOAD_FUNCTION_NAME(fescue::internal::bounded_input_archive& archive, T& out)
{
    archive.read(&out, sizeof out);
}

inline void CEREAL_LOAD_FUNCTION_NAME(fescue::internal::bounded_input_archive& archive, bool& out)
{
    std::uint8_t raw = 0;
    archive.read(&raw, sizeof raw);
    if (raw > 1) {
        throw Exception{"a flag is neither 0 nor 1"};
    }
    out = raw == 1;
}

/** Loads an enumerator. Its namespace declares last_value(T), which returns the highest one. */
template <class T>
std::enable_if_t<std::is_enum_v<T>>
CEREAL_LOAD_MINIMAL_FUNCTION_NAME(const fescue::internal::bounded_input_archive& /*archive*/,
                                  T& out, const std::underlying_type_t<T>& raw)
{
    if (raw > static_cast<std::underlying_type_t<T>>(last_value(T{}))) {
        throw Exception{"an enumerator is out of range"};
    }
    out = static_cast<T>(raw);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(fescue::internal::bounded_input_archive& archive, BinaryData<T>& out)
{
    archive.read(out.data, static_cast<std::size_t>(out.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(fescue::internal::bounded_input_archive& archive,
                               NameValuePair<T>& out)
{
    archive(out.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(fescue::internal::bounded_input_archive& archive, SizeTag<T>& out)
{
    out.size = static_cast<std::decay_t<T>>(archive.read_count());
}

} // namespace cereal

namespace fescue {

static_assert(std::endian::native == std::endian::little, "the format is little-endian");

/** Serializes a value. @param size_hint expected number of bytes, to avoid reallocations. */
template <class T>
std::string to_bytes(const T& v, std::size_t size_hint = 0)
{
    std::string out;
    out.reserve(size_hint);
    internal::string_output_archive archive{&out};
    archive(v);
    return out;
}

/** Serializes a large value without reallocations, which would hold it twice in memory. */
template <class T>
std::string to_bytes_without_growth(const T& v)
{
    internal::string_output_archive counter{nullptr};
    counter(v);
    return to_bytes(v, counter.size());
}

/** Deserializes a value; trailing bytes are an error. */
template <class T>
result<T> from_bytes(std::string_view bytes)
{
    try {
        internal::bounded_input_archive archive{bytes};
        T out;
        archive(out);
        if (archive.remaining() != 0) {
            return error{error_kind::bad_request, "trailing bytes after the value"};
        }
        return out;
    } catch (const std::exception& e) {
        return error{error_kind::bad_request, e.what()};
    }
}

} // namespace fescue
