#include "drivers/event_text.h"

#include "core/event_severity.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace boragelug
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t microsecondsPerSecond = 1'000'000;

bool needsQuotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char c : value) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c > '~') {
            return true;
        }
    }
    return false;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (byte < 32 || byte == 127) {
            std::array<char, 5> escape {};
            std::snprintf(escape.data(), escape.size(), "\\x%02x", byte);
            line += escape.data();
        } else {
            line += c;
        }
    }
    line += '"';
}

void appendPair(std::string &line, std::string_view key, std::string_view value)
{
    if (!line.empty()) {
        line += ' ';
    }
    line += key;
    line += '=';
    appendValue(line, value);
}

template<class T>
std::optional<T> takeDigits(std::string_view &text, std::size_t count)
{
    T value = 0;
    if (text.size() < count) {
        return std::nullopt;
    }
    const auto [end, error] = std::from_chars(text.data(), text.data() + count, value);
    if (error != std::errc() || end != text.data() + count) {
        return std::nullopt;
    }
    text.remove_prefix(count);
    return value;
}

bool takeChar(std::string_view &text, char expected)
{
    if (!text.starts_with(expected)) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

/// Reads "" or "." with 1 to 6 digits.
std::optional<std::uint64_t> takeFraction(std::string_view &text)
{
    if (!takeChar(text, '.')) {
        return 0;
    }
    std::uint64_t value = 0;
    std::uint64_t unit = microsecondsPerSecond;
    while (unit > 1 && !text.empty() && text.front() >= '0' && text.front() <= '9') {
        unit /= 10;
        value += unit * static_cast<std::uint64_t>(text.front() - '0');
        text.remove_prefix(1);
    }
    return unit == microsecondsPerSecond ? std::nullopt : std::optional(value);
}

Event readEvent(const json &object)
{
    Event event;
    event.time.wallMicroseconds = object.at("time_us").get<std::uint64_t>();
    event.time.counter = object.at("counter").get<std::uint32_t>();
    event.vm.value = object.at("vm").get<std::uint64_t>();
    event.incarnation.value = object.at("incarnation").get<std::uint64_t>();
    event.sequence = object.at("sequence").get<std::uint64_t>();
    event.number = static_cast<EventNumber>(object.at("event").get<std::uint16_t>());
    event.causeId = parseCause(object.at("cause").get<std::string>()).value_or(0);
    for (const auto &field : object.at("fields")) {
        event.fields.emplace_back(field.at(0).get<std::string>(), field.at(1).get<std::string>());
    }
    return event;
}

/// Takes a value that appendValue() wrote; nothing if its quotes don't end.
std::optional<std::string> takeValue(std::string_view &text)
{
    std::string value;
    if (!takeChar(text, '"')) {
        const auto end = std::min(text.find(' '), text.size());
        value = text.substr(0, end);
        text.remove_prefix(end);
        return value;
    }
    while (!text.empty() && text.front() != '"') {
        const bool escaped = takeChar(text, '\\');
        unsigned byte = 0;
        if (escaped && text.size() >= 3 && text.front() == 'x'
            && std::from_chars(text.data() + 1, text.data() + 3, byte, 16).ptr == text.data() + 3) {
            value += static_cast<char>(byte);
            text.remove_prefix(3);
        } else if (!text.empty()) {
            value += text.front();
            text.remove_prefix(1);
        }
    }
    return takeChar(text, '"') ? std::optional(value) : std::nullopt;
}

template<class T>
bool readNumber(std::string_view text, T &out)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc() && end == text.data() + text.size();
}

/// Takes over a pair of a log line; false if its value is wrong. @p known counts the pairs that every line has.
bool readPair(const std::string &key, const std::string &value, Event &event, int &known)
{
    std::uint16_t number = 0;
    if (key == "time") {
        const auto time = parseTime(value);
        event.time.wallMicroseconds = time.value_or(0);
        ++known;
        return time.has_value();
    }
    if (key == "event") {
        ++known;
        const bool read = readNumber(value, number);
        event.number = static_cast<EventNumber>(number);
        return read;
    }
    if (key == "vm" || key == "incarnation" || key == "sequence") {
        ++known;
        std::uint64_t &out = key == "vm" ? event.vm.value
            : key == "incarnation"       ? event.incarnation.value
                                         : event.sequence;
        return readNumber(value, out);
    }
    if (key == "cause") {
        const auto cause = parseCause(value);
        event.causeId = cause.value_or(0);
        return cause.has_value();
    }
    if (key != "severity" && key != "name") {
        event.fields.emplace_back(key, value);
    }
    return true;
}

} // namespace

Outcome<Event, std::string> eventFromLine(std::string_view text)
{
    using Result = Outcome<Event, std::string>;
    constexpr int pairsOfEveryLine = 5;
    const auto start = text.find("time=");
    if (start == std::string_view::npos) {
        return Result::failure("no event");
    }
    text.remove_prefix(start);
    Event event;
    int known = 0;
    while (!text.empty()) {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos) {
            return Result::failure("no value");
        }
        const std::string key(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        const auto value = takeValue(text);
        if (!value || !readPair(key, *value, event, known)) {
            return Result::failure("wrong value of '" + key + "'");
        }
        takeChar(text, ' ');
    }
    return known == pairsOfEveryLine ? Result(std::move(event)) : Result::failure("a part of the line is missing");
}

std::string eventLine(const Event &event)
{
    std::string line;
    appendPair(line, "time", timeText(event.time.wallMicroseconds));
    appendPair(line, "severity", severityName(severityOf(event.number)));
    appendPair(line, "event", std::to_string(static_cast<unsigned>(event.number)));
    appendPair(line, "name", eventName(event.number));
    appendPair(line, "vm", std::to_string(event.vm.value));
    appendPair(line, "incarnation", std::to_string(event.incarnation.value));
    appendPair(line, "sequence", std::to_string(event.sequence));
    if (event.causeId != 0) {
        appendPair(line, "cause", causeText(event.causeId));
    }
    for (const auto &[key, value] : event.fields) {
        appendPair(line, key, value);
    }
    return line;
}

std::string eventToJson(const Event &event)
{
    // Fields are pairs in a list, so that their order and repeated names survive.
    json fields = json::array();
    for (const auto &[key, value] : event.fields) {
        fields.push_back(json::array({ key, value }));
    }
    const json object = { { "time_us", event.time.wallMicroseconds },
                          { "time", timeText(event.time.wallMicroseconds) },
                          { "counter", event.time.counter },
                          { "vm", event.vm.value },
                          { "incarnation", event.incarnation.value },
                          { "sequence", event.sequence },
                          { "event", static_cast<std::uint16_t>(event.number) },
                          { "name", eventName(event.number) },
                          { "severity", severityName(severityOf(event.number)) },
                          { "cause", causeText(event.causeId) },
                          { "fields", std::move(fields) } };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Outcome<Event, std::string> eventFromJson(std::string_view text)
{
    try {
        return readEvent(json::parse(text));
    } catch (const json::exception &error) {
        return Outcome<Event, std::string>::failure(error.what());
    }
}

std::string timeText(std::uint64_t wallMicroseconds)
{
    using namespace std::chrono;
    // Years over 9999 would not be readable again.
    constexpr std::uint64_t lastSecond = 253'402'300'799;
    const std::uint64_t seconds = std::min(wallMicroseconds / microsecondsPerSecond, lastSecond);
    const auto days = seconds / 86400;
    const year_month_day date { sys_days { std::chrono::days { static_cast<int>(days) } } };
    const auto second = static_cast<unsigned>(seconds % 86400);
    std::array<char, 40> text {};
    std::snprintf(text.data(),
                  text.size(),
                  "%04d-%02u-%02uT%02u:%02u:%02u.%06uZ",
                  static_cast<int>(date.year()),
                  static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()),
                  second / 3600,
                  second / 60 % 60,
                  second % 60,
                  static_cast<unsigned>(wallMicroseconds % microsecondsPerSecond));
    return text.data();
}

std::optional<std::uint64_t> parseTime(std::string_view text)
{
    using namespace std::chrono;
    constexpr std::array<std::pair<std::size_t, char>, 6> parts {
        { { 4, '-' }, { 2, '-' }, { 2, 'T' }, { 2, ':' }, { 2, ':' }, { 2, '\0' } }
    };
    std::array<unsigned, 6> values {};
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto value = takeDigits<unsigned>(text, parts[i].first);
        if (!value || (parts[i].second != '\0' && !takeChar(text, parts[i].second))) {
            return std::nullopt;
        }
        values[i] = *value;
    }
    const auto fraction = takeFraction(text);
    const year_month_day date { year { static_cast<int>(values[0]) }, month { values[1] }, day { values[2] } };
    const bool inRange = date.ok() && values[0] >= 1970 && values[3] < 24 && values[4] < 60 && values[5] < 60;
    if (!fraction || text != "Z" || !inRange) {
        return std::nullopt;
    }
    const auto daysSinceEpoch = static_cast<std::uint64_t>(sys_days { date }.time_since_epoch().count());
    const std::uint64_t seconds = ((daysSinceEpoch * 24 + values[3]) * 60 + values[4]) * 60 + values[5];
    return seconds * microsecondsPerSecond + *fraction;
}

std::optional<std::uint64_t> parseCause(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.size() > 16 || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace boragelug
