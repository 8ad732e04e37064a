#include <LibControl/RpcFraming.h>

#include <exception>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace Control {

namespace {

    // Stores the text of a request instead of sending it.
    class CapturingConnector : public jsonrpc::IClientConnector {
    public:
        void SendRPCMessage(const std::string& message, std::string&) throw(jsonrpc::JsonRpcException) override // NOLINT
        {
            m_text = message;
        }

        const std::string& text() const { return m_text; }

    private:
        std::string m_text;
    };

    // Passes texts to the library's server without sockets or threads.
    class TextConnector : public jsonrpc::AbstractServerConnector {
    public:
        bool StartListening() override { return true; } // NOLINT(readability-identifier-naming)
        bool StopListening() override { return true; } // NOLINT(readability-identifier-naming)
        bool SendResponse(const std::string&, void*) override { return true; } // NOLINT(readability-identifier-naming)
    };

}

std::string makeNotification(const std::string& method, const Json::Value& parameters)
{
    CapturingConnector connector;
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallNotification(method, parameters);
    return connector.text();
}

struct NotificationReader::Implementation : public jsonrpc::IProcedureInvokationHandler {
    explicit Implementation(const std::vector<std::string>& methods)
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        connector.SetHandler(protocol);
        for (const auto& method : methods)
            protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, NULL));
    }

    ~Implementation() override { delete protocol; }

    void HandleMethodCall(jsonrpc::Procedure&, const Json::Value&, Json::Value&) override { } // NOLINT(readability-identifier-naming)

    void HandleNotificationCall(jsonrpc::Procedure& procedure, const Json::Value& parameters) override // NOLINT(readability-identifier-naming)
    {
        // The library discards exceptions of handlers, so the exception is stored here and rethrown by read().
        wasCalled = true;
        try {
            (*handler)(procedure.GetProcedureName(), parameters);
        } catch (...) {
            handlerException = std::current_exception();
        }
    }

    TextConnector connector;
    jsonrpc::IProtocolHandler* protocol;
    const Handler* handler { nullptr };
    bool wasCalled { false };
    std::exception_ptr handlerException;
};

NotificationReader::NotificationReader(const std::vector<std::string>& methods)
    : m_implementation(new Implementation(methods))
{
}

NotificationReader::~NotificationReader()
{
    delete m_implementation;
}

bool NotificationReader::read(const std::string& text, const Handler& handler)
{
    m_implementation->handler = &handler;
    m_implementation->wasCalled = false;
    m_implementation->handlerException = nullptr;
    try {
        m_implementation->connector.OnRequest(text);
    } catch (const std::exception&) {
        // The library doesn't catch exceptions of its JSON parser, for example on deep nesting.
        return false;
    }
    if (m_implementation->handlerException)
        std::rethrow_exception(m_implementation->handlerException);
    return m_implementation->wasCalled;
}

}
