#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace boragelug
{

/// Header fields by lower-case name.
using HttpFields = std::map<std::string, std::string>;

/// An HTTP/1.1 request.
struct PlatformHttpRequest
{
    std::string method = "GET";
    std::string target;
    HttpFields fields;
    std::string body;
};

/// An HTTP/1.1 response.
struct PlatformHttpResponse
{
    unsigned status = 200;
    HttpFields fields;
    std::string body;
};

/// How far a message has been read.
enum class HttpProgress : std::uint8_t { NeedMore, Complete, Malformed, TooLarge };

/// Bytes of a request; Content-Length is set when there is a body. Thread-safe.
std::string serialize(const PlatformHttpRequest &request);

/// Bytes of a response; Content-Length is set, except for 304. Thread-safe.
std::string serialize(const PlatformHttpResponse &response);

/// Reads one response from bytes in any pieces. Not synchronized: one thread at a time.
class PlatformResponseReader
{
public:
    /// Bodies over @p maxBodyBytes end with TooLarge.
    explicit PlatformResponseReader(std::size_t maxBodyBytes);
    ~PlatformResponseReader();
    PlatformResponseReader(const PlatformResponseReader &) = delete;
    PlatformResponseReader &operator=(const PlatformResponseReader &) = delete;

    /// Takes the next bytes. Precondition: the last result was NeedMore.
    HttpProgress feed(std::string_view bytes);

    /// Notes the end of the connection.
    HttpProgress finish();

    /// The response. Precondition: the last result was Complete.
    PlatformHttpResponse take();

private:
    class State;
    std::unique_ptr<State> state_;
};

/// Reads one request from bytes in any pieces. Not synchronized: one thread at a time.
class PlatformRequestReader
{
public:
    PlatformRequestReader();
    ~PlatformRequestReader();
    PlatformRequestReader(const PlatformRequestReader &) = delete;
    PlatformRequestReader &operator=(const PlatformRequestReader &) = delete;

    /// Takes the next bytes. Precondition: the last result was NeedMore.
    HttpProgress feed(std::string_view bytes);

    /// The request. Precondition: the last result was Complete.
    PlatformHttpRequest take();

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace boragelug
