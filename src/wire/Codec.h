#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"

#include <limits>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace briarhitch {

/**
 * msgpack encoding of structs that list their members in `template <class V> void fields(V& visit)`.
 * A struct is encoded as an array of its fields. The decoder ignores trailing fields that it does not know and leaves
 * missing ones at their defaults, so that nodes of adjacent versions understand each other.
 */
namespace codec {

    /** Deepest nesting that decode() accepts; the messages need at most seven levels. */
    inline constexpr size_t maxDepth = 16;

    using Packer = msgpack::packer<msgpack::sbuffer>;

    template <class T>
    struct IsNumericId : std::false_type {
    };
    template <class Tag, class Rep>
    struct IsNumericId<NumericId<Tag, Rep>> : std::true_type {
    };
    template <class T>
    struct IsQuantity : std::false_type {
    };
    template <class Tag, class Rep>
    struct IsQuantity<Quantity<Tag, Rep>> : std::true_type {
    };
    template <class T>
    struct IsVector : std::false_type {
    };
    template <class T>
    struct IsVector<std::vector<T>> : std::true_type {
    };
    template <class T>
    struct IsOptional : std::false_type {
    };
    template <class T>
    struct IsOptional<std::optional<T>> : std::true_type {
    };
    template <class T>
    struct IsMap : std::false_type {
    };
    template <class K, class T>
    struct IsMap<std::map<K, T>> : std::true_type {
    };

    template <class T>
    void pack(Packer& packer, const T& value);

    struct FieldCounter {
        uint32_t count { 0 };
        template <class... T>
        void operator()(T&...) { count += sizeof...(T); }
    };

    struct FieldPacker {
        Packer& packer;
        template <class... T>
        void operator()(const T&... values) { (pack(packer, values), ...); }
    };

    template <class T>
    void pack(Packer& packer, const T& value)
    {
        if constexpr (std::is_same_v<T, bool> || std::is_arithmetic_v<T>) {
            packer.pack(value);
        } else if constexpr (std::is_enum_v<T>) {
            packer.pack(static_cast<std::underlying_type_t<T>>(value));
        } else if constexpr (std::is_same_v<T, std::string>) {
            packer.pack_bin(static_cast<uint32_t>(value.size()));
            packer.pack_bin_body(value.data(), static_cast<uint32_t>(value.size()));
        } else if constexpr (IsNumericId<T>::value || IsQuantity<T>::value || std::is_same_v<T, Tier>) {
            packer.pack(value.value());
        } else if constexpr (std::is_same_v<T, Duration>) {
            packer.pack(value.count());
        } else if constexpr (IsVector<T>::value) {
            packer.pack_array(static_cast<uint32_t>(value.size()));
            for (const auto& element : value)
                pack(packer, element);
        } else if constexpr (IsMap<T>::value) {
            packer.pack_map(static_cast<uint32_t>(value.size()));
            for (const auto& [key, element] : value) {
                pack(packer, key);
                pack(packer, element);
            }
        } else if constexpr (IsOptional<T>::value) {
            if (value)
                pack(packer, *value);
            else
                packer.pack_nil();
        } else {
            // fields() is not const because the decoder writes through it; packing only reads.
            auto& fields = const_cast<T&>(value);
            FieldCounter counter;
            fields.fields(counter);
            packer.pack_array(counter.count);
            FieldPacker fieldPacker { packer };
            fields.fields(fieldPacker);
        }
    }

    template <class T>
    bool unpack(const msgpack::object& object, T& value);

    struct FieldUnpacker {
        const msgpack::object_array& array;
        uint32_t next { 0 };
        bool isValid { true };

        template <class... T>
        void operator()(T&... values) { (unpackField(values), ...); }

    private:
        template <class T>
        void unpackField(T& value)
        {
            if (isValid && next < array.size)
                isValid = unpack(array.ptr[next++], value);
        }
    };

    template <class T>
    bool unpackInteger(const msgpack::object& object, T& value)
    {
        if (object.type == msgpack::type::POSITIVE_INTEGER) {
            if (object.via.u64 > static_cast<uint64_t>(std::numeric_limits<T>::max()))
                return false;
            value = static_cast<T>(object.via.u64);
            return true;
        }
        if (object.type == msgpack::type::NEGATIVE_INTEGER && std::is_signed_v<T>) {
            if (object.via.i64 < static_cast<int64_t>(std::numeric_limits<T>::min()))
                return false;
            value = static_cast<T>(object.via.i64);
            return true;
        }
        return false;
    }

    template <class T>
    bool unpackFloat(const msgpack::object& object, T& value)
    {
        if (object.type == msgpack::type::FLOAT32 || object.type == msgpack::type::FLOAT64) {
            value = static_cast<T>(object.via.f64);
            return true;
        }
        int64_t integer = 0;
        if (!unpackInteger(object, integer))
            return false;
        value = static_cast<T>(integer);
        return true;
    }

    template <class T>
    bool unpack(const msgpack::object& object, T& value)
    {
        if constexpr (std::is_same_v<T, bool>) {
            if (object.type != msgpack::type::BOOLEAN)
                return false;
            value = object.via.boolean;
            return true;
        } else if constexpr (std::is_floating_point_v<T>) {
            return unpackFloat(object, value);
        } else if constexpr (std::is_integral_v<T>) {
            return unpackInteger(object, value);
        } else if constexpr (std::is_enum_v<T>) {
            std::underlying_type_t<T> raw {};
            if (!unpackInteger(object, raw))
                return false;
            // An unknown kind is rejected because errorInfo() indexes its table by kind.
            if constexpr (std::is_same_v<T, ErrorKind>) {
                if (raw >= errorKindCount)
                    return false;
            }
            value = static_cast<T>(raw);
            return true;
        } else if constexpr (std::is_same_v<T, std::string>) {
            if (object.type == msgpack::type::BIN)
                value.assign(object.via.bin.ptr, object.via.bin.size);
            else if (object.type == msgpack::type::STR)
                value.assign(object.via.str.ptr, object.via.str.size);
            else
                return false;
            return true;
        } else if constexpr (IsNumericId<T>::value || IsQuantity<T>::value) {
            typename T::Representation raw {};
            if (!unpack(object, raw))
                return false;
            value = T(raw);
            return true;
        } else if constexpr (std::is_same_v<T, Tier>) {
            uint8_t raw = 0;
            if (!unpackInteger(object, raw) || raw >= Tier::count)
                return false;
            value = Tier(raw);
            return true;
        } else if constexpr (std::is_same_v<T, Duration>) {
            Duration::rep raw = 0;
            if (!unpackInteger(object, raw))
                return false;
            value = Duration(raw);
            return true;
        } else if constexpr (IsVector<T>::value) {
            if (object.type != msgpack::type::ARRAY)
                return false;
            value.clear();
            value.resize(object.via.array.size);
            for (uint32_t i = 0; i < object.via.array.size; ++i) {
                if (!unpack(object.via.array.ptr[i], value[i]))
                    return false;
            }
            return true;
        } else if constexpr (IsMap<T>::value) {
            if (object.type != msgpack::type::MAP)
                return false;
            value.clear();
            for (uint32_t i = 0; i < object.via.map.size; ++i) {
                const auto& entry = object.via.map.ptr[i];
                typename T::key_type key {};
                typename T::mapped_type element {};
                if (!unpack(entry.key, key) || !unpack(entry.val, element))
                    return false;
                value.insert_or_assign(std::move(key), std::move(element));
            }
            return true;
        } else if constexpr (IsOptional<T>::value) {
            if (object.type == msgpack::type::NIL) {
                value.reset();
                return true;
            }
            return unpack(object, value.emplace());
        } else {
            if (object.type != msgpack::type::ARRAY)
                return false;
            FieldUnpacker unpacker { object.via.array };
            value.fields(unpacker);
            return unpacker.isValid;
        }
    }

}

template <class T>
std::string encode(const T& value)
{
    msgpack::sbuffer buffer;
    codec::Packer packer(buffer);
    codec::pack(packer, value);
    return { buffer.data(), buffer.size() };
}

/** Decodes exactly one value; BadRequest if the bytes do not encode a T. */
template <class T>
Result<T> decode(std::string_view bytes)
{
    try {
        // Each element takes at least one byte, so lengths are limited to the input size; a message cannot claim more
        // memory.
        msgpack::unpack_limit limit(bytes.size(), bytes.size(), bytes.size(), bytes.size(), 0, codec::maxDepth);
        size_t offset = 0;
        auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        T value {};
        if (offset != bytes.size() || !codec::unpack(handle.get(), value))
            return fail(ErrorKind::BadRequest, "message does not have the expected fields and types");
        return value;
    } catch (const std::exception&) {
        return fail(ErrorKind::BadRequest, "message is not valid msgpack");
    }
}

}
