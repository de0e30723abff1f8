#pragma once

#include "core/time_point.h"
#include "model/endpoint.h"
#include "model/problem.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace boragelug
{

/// Where a value stands in a file; counts from 1.
struct TextPosition
{
    int line = 0;
    int column = 0;
};

/// What reading one YAML file has found so far.
struct YamlContext
{
    std::string file;
    Problems problems;
    /// Position of each value by its path, so that later checks can point at it.
    std::map<std::string, TextPosition> positions;
};

/// Whether a key may be left out.
enum class Presence : std::uint8_t { Required, Optional };

/// Parses @p text as exactly one YAML document; nothing, with a problem added, if that fails.
std::optional<YAML::Node> parseYaml(const std::string &text, YamlContext &context);

/// Reads a whole file of at most @p maxBytes; nothing, with a problem added, if that fails.
std::optional<std::string> readTextFile(const std::string &path, std::size_t maxBytes, YamlContext &context);

/// Printable form of untrusted text: at most 40 characters, others than printable ASCII as '?'. Thread-safe.
std::string printable(std::string_view text);

/**
 * Reads the keys of one YAML mapping into typed fields and reports every mistake.
 *
 * A field whose value is refused keeps its previous value. Not synchronized: one thread at a time.
 */
class YamlMap
{
public:
    /// Adds a problem if @p node is no mapping or has a key twice. @p path is empty for the whole file.
    YamlMap(const YAML::Node &node, std::string path, YamlContext &context);

    /// Reads an integer in [@p least, @p most].
    template<class T>
    void number(std::string_view key, T &field, std::uint64_t least, std::uint64_t most, Presence presence)
    {
        if (const auto value = readNumber(key, least, most, presence)) {
            field = static_cast<T>(*value);
        }
    }

    /// Reads a number with or without a fraction, in [@p least, @p most].
    void decimal(std::string_view key, double &field, double least, double most, Presence presence);

    /// Reads a name: 1 to 63 characters of a-z, 0-9, '-', '_' and '.', starting with a letter or digit.
    void name(std::string_view key, std::string &field, Presence presence);

    /// Reads any text that is not empty and has no control characters, such as a file name.
    void text(std::string_view key, std::string &field, Presence presence);

    /// Reads "true" or "false".
    void boolean(std::string_view key, bool &field, Presence presence);

    /// Reads an endpoint "a.b.c.d:port" with a port over 0.
    void endpoint(std::string_view key, Endpoint &field, Presence presence);

    /// Reads a list of @p least to @p most endpoints.
    void endpoints(
        std::string_view key, std::vector<Endpoint> &field, std::size_t least, std::size_t most, Presence presence);

    /// Reads a duration in [@p least, @p most].
    void duration(std::string_view key, Duration &field, Duration least, Duration most, Presence presence);

    /// Reads one of a fixed set of words.
    template<class T, std::size_t Count>
    void choice(std::string_view key,
                T &field,
                const std::array<std::pair<std::string_view, T>, Count> &words,
                Presence presence)
    {
        std::vector<std::string_view> valid;
        valid.reserve(Count);
        for (const auto &word : words) {
            valid.push_back(word.first);
        }
        if (const auto index = readChoice(key, valid, presence)) {
            field = words[*index].second;
        }
    }

    /// The mapping under @p key; nothing if it is missing or of another type.
    std::optional<YamlMap> map(std::string_view key, Presence presence);

    /// The mappings in the list under @p key, at most @p most of them.
    std::vector<YamlMap> maps(std::string_view key, std::size_t most, Presence presence);

    /// Reports the value of @p key, which was read before, as wrong.
    void fail(std::string_view key, std::string message);

    /// Reports each key that no call has asked for. Call last.
    void rejectUnknownKeys();

private:
    std::optional<YAML::Node> find(std::string_view key, Presence presence);
    std::optional<std::string> scalar(std::string_view key, std::string_view valid, Presence presence);
    std::optional<std::uint64_t>
    readNumber(std::string_view key, std::uint64_t least, std::uint64_t most, Presence presence);
    std::optional<std::size_t>
    readChoice(std::string_view key, const std::vector<std::string_view> &valid, Presence presence);
    std::string pathOf(std::string_view key) const;
    void report(const YAML::Mark &mark, std::string path, std::string message);

    struct Item
    {
        YAML::Node value;
        YAML::Mark keyMark;
    };

    std::string path_;
    YamlContext *context_;
    YAML::Mark mark_;
    std::map<std::string, Item, std::less<>> items_;
    std::vector<std::string> known_;
    bool usable_ = true;
};

} // namespace boragelug
