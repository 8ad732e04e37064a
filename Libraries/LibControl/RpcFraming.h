#pragma once

#include <functional>
#include <json/value.h>
#include <string>
#include <vector>

// JSON-RPC 2.0 notifications. The implementation is built as C++14 because libjsonrpccpp 0.7 uses dynamic exception
// specifications, which C++17 removed. This header must not include the library's headers, so that C++20 code can use
// it.
namespace Control {

// Returns the text of a notification. Throws std::runtime_error if the library rejects the parameters.
// https://www.jsonrpc.org/specification#notification
std::string makeNotification(const std::string& method, const Json::Value& parameters);

// Parses notifications of a fixed set of methods.
class NotificationReader {
public:
    using Handler = std::function<void(const std::string& method, const Json::Value& parameters)>;

    explicit NotificationReader(const std::vector<std::string>& methods);
    ~NotificationReader();
    NotificationReader(const NotificationReader&) = delete;
    NotificationReader& operator=(const NotificationReader&) = delete;

    // Calls the handler once if the text is a single well-formed notification of a known method. Returns whether the
    // handler was called.
    // Exceptions thrown by the handler propagate to the caller.
    bool read(const std::string& text, const Handler&);

private:
    struct Implementation;
    Implementation* m_implementation;
};

}
