#include "drivers/yaml_map.h"

#include "core/duration_text.h"
#include "core/utf8.h"

#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace boragelug
{

namespace
{

TextPosition positionOf(const YAML::Mark &mark)
{
    return mark.is_null() ? TextPosition {} : TextPosition { mark.line + 1, mark.column + 1 };
}

TextPosition positionOf(const std::string &text, std::size_t offset)
{
    const auto lines = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(offset), '\n');
    const auto lineStart = offset == 0 ? std::string::npos : text.rfind('\n', offset - 1);
    const std::size_t column = lineStart == std::string::npos ? offset + 1 : offset - lineStart;
    return { static_cast<int>(lines) + 1, static_cast<int>(column) };
}

std::string typeName(const YAML::Node &node)
{
    switch (node.Type()) {
    case YAML::NodeType::Map:
        return "a mapping";
    case YAML::NodeType::Sequence:
        return "a list";
    case YAML::NodeType::Scalar:
        return '\'' + printable(node.Scalar()) + '\'';
    case YAML::NodeType::Null:
    case YAML::NodeType::Undefined:
        break;
    }
    return "nothing";
}

bool isNameChar(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= 63 && isNameChar(text.front())
        && std::all_of(
            text.begin(), text.end(), [](char c) { return isNameChar(c) || c == '-' || c == '_' || c == '.'; });
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool leadingZero = text.size() > 1 && text.front() == '0';
    if (error != std::errc() || end != text.data() + text.size() || leadingZero) {
        return std::nullopt;
    }
    return number;
}

/// Ignores the content of a document.
class IgnoringHandler : public YAML::EventHandler
{
public:
    using Mark = YAML::Mark;
    using Anchor = YAML::anchor_t;
    using Style = YAML::EmitterStyle::value;

    void OnDocumentStart(const Mark &) override { }
    void OnDocumentEnd() override { }
    void OnNull(const Mark &, Anchor) override { }
    void OnAlias(const Mark &, Anchor) override { }
    void OnScalar(const Mark &, const std::string &, Anchor, const std::string &) override { }
    void OnSequenceStart(const Mark &, const std::string &, Anchor, Style) override { }
    void OnSequenceEnd() override { }
    void OnMapStart(const Mark &, const std::string &, Anchor, Style) override { }
    void OnMapEnd() override { }
};

/// YAML::LoadAll() of yaml-cpp 0.7 is not used for this: on a text such as "," it returns no document and never ends.
bool holdsOneDocument(const std::string &text)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    IgnoringHandler handler;
    return parser.HandleNextDocument(handler) && !parser.HandleNextDocument(handler);
}

} // namespace

std::optional<YAML::Node> parseYaml(const std::string &text, YamlContext &context)
{
    // yaml-cpp takes other bytes as they are, and they would reach logs and terminals.
    if (const auto invalid = findInvalidText(text)) {
        const auto [line, column] = positionOf(text, *invalid);
        context.problems.push_back({ context.file, line, column, "", "must be UTF-8 text without control characters" });
        return std::nullopt;
    }
    try {
        if (!holdsOneDocument(text)) {
            context.problems.push_back({ context.file, 0, 0, "", "must hold exactly one YAML document" });
            return std::nullopt;
        }
        return YAML::Load(text);
    } catch (const YAML::Exception &error) {
        const auto [line, column] = positionOf(error.mark);
        context.problems.push_back({ context.file, line, column, "", "is no valid YAML: " + error.msg });
    }
    return std::nullopt;
}

std::optional<std::string> readTextFile(const std::string &path, std::size_t maxBytes, YamlContext &context)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        context.problems.push_back({ path, 0, 0, "", "can't be opened for reading" });
        return std::nullopt;
    }
    std::string text(maxBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad() || (stream.gcount() == 0 && !stream.eof())) {
        context.problems.push_back({ path, 0, 0, "", "can't be read" });
        return std::nullopt;
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (text.size() > maxBytes) {
        context.problems.push_back(
            { path, 0, 0, "", "is larger than the limit of " + std::to_string(maxBytes) + " bytes" });
        return std::nullopt;
    }
    return text;
}

std::string printable(std::string_view text)
{
    constexpr std::size_t maxLength = 40;
    std::string result(text.substr(0, maxLength));
    std::replace_if(
        result.begin(), result.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
    return text.size() > maxLength ? result + "..." : result;
}

YamlMap::YamlMap(const YAML::Node &node, std::string path, YamlContext &context)
    : path_(std::move(path))
    , context_(&context)
    , mark_(node.Mark())
{
    context_->positions[path_] = positionOf(mark_);
    if (!node.IsMap()) {
        usable_ = false;
        report(mark_, path_, "must be a mapping of keys to values, not " + typeName(node));
        return;
    }
    for (const auto &item : node) {
        if (!item.first.IsScalar()) {
            report(item.first.Mark(), path_, "has a key that is no text, but " + typeName(item.first));
            continue;
        }
        const auto [position, isNew] = items_.try_emplace(item.first.Scalar(), Item { item.second, item.first.Mark() });
        if (!isNew) {
            report(item.first.Mark(), pathOf(printable(position->first)), "is given twice; remove one of them");
        }
    }
}

void YamlMap::name(std::string_view key, std::string &field, Presence presence)
{
    static constexpr std::string_view valid =
        "1 to 63 characters of a-z, 0-9, '-', '_' and '.', the first one a-z or 0-9";
    const auto value = scalar(key, valid, presence);
    if (!value) {
        return;
    }
    if (!isName(*value)) {
        fail(key, "must be " + std::string(valid) + ", not '" + printable(*value) + '\'');
        return;
    }
    field = *value;
}

void YamlMap::text(std::string_view key, std::string &field, Presence presence)
{
    const auto value = scalar(key, "a text", presence);
    if (!value) {
        return;
    }
    const bool hasControl = std::any_of(
        value->begin(), value->end(), [](char c) { return static_cast<unsigned char>(c) < 32 || c == 127; });
    if (value->empty() || value->size() > 4095 || hasControl) {
        fail(key, "must be a text of 1 to 4095 characters without control characters");
        return;
    }
    field = *value;
}

void YamlMap::boolean(std::string_view key, bool &field, Presence presence)
{
    if (const auto index = readChoice(key, { "false", "true" }, presence)) {
        field = *index == 1;
    }
}

void YamlMap::endpoint(std::string_view key, Endpoint &field, Presence presence)
{
    static constexpr std::string_view valid = "an IPv4 address and port such as 10.0.0.1:8080";
    const auto value = scalar(key, valid, presence);
    if (!value) {
        return;
    }
    const auto parsed = parseEndpoint(*value);
    if (!parsed || parsed->port.value == 0) {
        fail(key, "must be " + std::string(valid) + ", not '" + printable(*value) + '\'');
        return;
    }
    field = *parsed;
}

void YamlMap::endpoints(
    std::string_view key, std::vector<Endpoint> &field, std::size_t least, std::size_t most, Presence presence)
{
    const auto list = find(key, presence);
    if (!list) {
        return;
    }
    if (!list->IsSequence() || list->size() < least || list->size() > most) {
        fail(key,
             "must be a list of " + std::to_string(least) + " to " + std::to_string(most)
                 + " endpoints such as [10.0.0.1:8080]");
        return;
    }
    std::vector<Endpoint> parsed;
    for (const auto &item : *list) {
        const auto endpoint = item.IsScalar() ? parseEndpoint(item.Scalar()) : std::nullopt;
        if (!endpoint || endpoint->port.value == 0) {
            report(item.Mark(),
                   pathOf(key) + '[' + std::to_string(parsed.size()) + ']',
                   "must be an IPv4 address and port such as 10.0.0.1:8080, not " + typeName(item));
            return;
        }
        parsed.push_back(*endpoint);
    }
    field = std::move(parsed);
}

void YamlMap::duration(std::string_view key, Duration &field, Duration least, Duration most, Presence presence)
{
    const std::string valid = "a duration from " + durationText(least) + " to " + durationText(most)
        + ", written with its unit (ms, s, m or h)";
    const auto value = scalar(key, valid, presence);
    if (!value) {
        return;
    }
    const auto parsed = parseDuration(*value);
    if (!parsed || *parsed < least || *parsed > most) {
        fail(key, "must be " + valid + ", not '" + printable(*value) + '\'');
        return;
    }
    field = *parsed;
}

std::optional<YamlMap> YamlMap::map(std::string_view key, Presence presence)
{
    const auto node = find(key, presence);
    if (!node) {
        return std::nullopt;
    }
    YamlMap result(*node, pathOf(key), *context_);
    return result.usable_ ? std::optional(std::move(result)) : std::nullopt;
}

std::vector<YamlMap> YamlMap::maps(std::string_view key, std::size_t most, Presence presence)
{
    std::vector<YamlMap> result;
    const auto list = find(key, presence);
    if (!list) {
        return result;
    }
    if (!list->IsSequence() || list->size() > most) {
        fail(key, "must be a list of at most " + std::to_string(most) + " mappings");
        return result;
    }
    result.reserve(list->size());
    std::size_t index = 0;
    for (const auto &item : *list) {
        result.emplace_back(item, pathOf(key) + '[' + std::to_string(index++) + ']', *context_);
    }
    return result;
}

void YamlMap::rejectUnknownKeys()
{
    for (const auto &[key, item] : items_) {
        if (std::find(known_.begin(), known_.end(), key) != known_.end()) {
            continue;
        }
        std::string valid;
        for (const auto &word : known_) {
            valid += (valid.empty() ? "" : ", ") + word;
        }
        report(item.keyMark, pathOf(printable(key)), "is an unknown key; valid keys here: " + valid);
    }
}

std::optional<YAML::Node> YamlMap::find(std::string_view key, Presence presence)
{
    known_.emplace_back(key);
    const auto found = items_.find(key);
    if (found != items_.end()) {
        const auto &mark = found->second.value.Mark();
        context_->positions[pathOf(key)] = positionOf(mark.is_null() ? found->second.keyMark : mark);
        return found->second.value;
    }
    if (presence == Presence::Required && usable_) {
        report(mark_, pathOf(key), "is missing; it is a required key");
    }
    return std::nullopt;
}

std::optional<std::string> YamlMap::scalar(std::string_view key, std::string_view valid, Presence presence)
{
    const auto node = find(key, presence);
    if (!node) {
        return std::nullopt;
    }
    if (!node->IsScalar()) {
        fail(key, "must be " + std::string(valid) + ", not " + typeName(*node));
        return std::nullopt;
    }
    return node->Scalar();
}

std::optional<std::uint64_t>
YamlMap::readNumber(std::string_view key, std::uint64_t least, std::uint64_t most, Presence presence)
{
    const std::string valid = "an integer from " + std::to_string(least) + " to " + std::to_string(most);
    const auto value = scalar(key, valid, presence);
    if (!value) {
        return std::nullopt;
    }
    const auto number = parseNumber(*value);
    if (!number || *number < least || *number > most) {
        fail(key, "must be " + valid + ", not '" + printable(*value) + '\'');
        return std::nullopt;
    }
    return number;
}

void YamlMap::decimal(std::string_view key, double &field, double least, double most, Presence presence)
{
    std::ostringstream valid;
    valid << "a number from " << least << " to " << most;
    const auto value = scalar(key, valid.str(), presence);
    if (!value) {
        return;
    }
    double number = 0;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), number);
    const bool isNumber = error == std::errc() && end == value->data() + value->size();
    if (!isNumber || !(number >= least && number <= most)) {
        fail(key, "must be " + valid.str() + ", not '" + printable(*value) + '\'');
        return;
    }
    field = number;
}

std::optional<std::size_t>
YamlMap::readChoice(std::string_view key, const std::vector<std::string_view> &valid, Presence presence)
{
    std::string list;
    for (const auto &word : valid) {
        list += (list.empty() ? "" : " or ") + std::string(word);
    }
    const auto value = scalar(key, list, presence);
    if (!value) {
        return std::nullopt;
    }
    const auto found = std::find(valid.begin(), valid.end(), *value);
    if (found == valid.end()) {
        fail(key, "must be " + list + ", not '" + printable(*value) + '\'');
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - valid.begin());
}

std::string YamlMap::pathOf(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + '.' + std::string(key);
}

void YamlMap::report(const YAML::Mark &mark, std::string path, std::string message)
{
    const auto [line, column] = positionOf(mark);
    context_->problems.push_back({ context_->file, line, column, std::move(path), std::move(message) });
}

void YamlMap::fail(std::string_view key, std::string message)
{
    std::string path = pathOf(key);
    const auto [line, column] = context_->positions[path];
    context_->problems.push_back({ context_->file, line, column, std::move(path), std::move(message) });
}

} // namespace boragelug
