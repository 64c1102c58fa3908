#pragma once

// A stand-in for the platform's store: keyed topics with one partition, conditional appends,
// producers with epochs and numbers, waiting reads, and pages of the newest records.

#include "http.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>

namespace review {

using Json = nlohmann::json;
using Millis = std::int64_t;

inline Millis steadyNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline Millis wallNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes; i-- > 0;)
        text += static_cast<char>((value >> (8 * i)) & 0xff);
    return text;
}

inline std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t block = 0;
        for (std::size_t j = 0; j < 3; ++j)
            block = block << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[block >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

class Store {
public:
    explicit Store(const std::string& host)
        : server(host, [this](const HttpMessage& request) { return this->handle(request); })
    {
    }

    const std::string& address() const { return this->server.address(); }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->add(this->topics[topic], key, value);
        this->changed.notify_all();
    }

    void remove(const std::string& topic, const std::string& key) { this->put(topic, key, ""); }

    // The newest value of a key, or nothing.
    std::optional<std::string> get(const std::string& topic, const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        const auto& newest = this->topics[topic].newest;
        const auto found = newest.find(key);
        return found == newest.end() ? std::nullopt : std::optional(found->second.second);
    }

    // While set, every call is answered with 503: nothing was done.
    std::atomic<bool> busy { false };

    std::size_t recordBytes { 262144 };
    std::atomic<int> oversizedRecords { 0 };
    std::atomic<std::size_t> largestRecord { 0 };

private:
    struct Producer {
        std::int64_t epoch { -1 };
        std::int64_t number { 0 };
        std::map<std::int64_t, Json> answers; // Of the last five appends.
    };

    struct Topic {
        std::deque<std::string> records; // Framed.
        std::map<std::string, std::pair<std::int64_t, std::string>> newest; // Offset and value, by key.
        std::map<std::string, Producer> producers;
        std::int64_t end() const { return static_cast<std::int64_t>(this->records.size()); }
    };

    void add(Topic& topic, const std::string& key, const std::string& value)
    {
        topic.records.push_back(bigEndian(1 + key.size() + value.size(), 4) + static_cast<char>(key.size()) + key + value);
        if (value.empty())
            topic.newest.erase(key);
        else
            topic.newest[key] = { topic.end() - 1, value };
    }

    static HttpReply json(int status, const Json& body) { return { status, body.dump() }; }

    HttpReply handle(const HttpMessage& request)
    {
        if (this->busy)
            return json(503, Json::object());
        const auto parameter = [&](const char* name) {
            const auto found = request.query.find(name);
            return found == request.query.end() ? std::string() : found->second;
        };
        std::unique_lock lock(this->mutex);
        Topic& topic = this->topics[parameter("topic")];
        if (request.path == "/log-append")
            return this->append(request, topic, parameter);
        if (request.path == "/log-read") {
            const std::int64_t from = std::stoll(parameter("from"));
            const Millis wait = parameter("wait_ms").empty() ? 0 : std::stoll(parameter("wait_ms"));
            this->changed.wait_for(lock, std::chrono::milliseconds(wait), [&] { return this->busy || topic.end() > from; });
            if (this->busy)
                return json(503, Json::object());
            std::string body = bigEndian(static_cast<std::uint64_t>(topic.end()), 8) + bigEndian(0, 8);
            for (std::int64_t i = from; i < topic.end() && body.size() < 1024 * 1024; ++i)
                body += topic.records[static_cast<std::size_t>(i)];
            return { 200, body, "application/octet-stream" };
        }
        if (request.path == "/log-newest") {
            Json items = Json::array();
            std::size_t bytes = 0;
            auto next = topic.newest.upper_bound(parameter("depends_on"));
            for (; next != topic.newest.end() && items.size() < 500 && bytes < 1000000; ++next) {
                bytes += next->second.second.size();
                items.push_back({ { "key", next->first }, { "value", base64(next->second.second) }, { "offset", next->second.first } });
            }
            return json(200, { { "items", items }, { "has_more", next != topic.newest.end() }, { "end", topic.end() } });
        }
        return json(404, Json::object());
    }

    template <typename Parameter>
    HttpReply append(const HttpMessage& request, Topic& topic, const Parameter& parameter)
    {
        std::vector<std::pair<std::string, std::string>> records;
        for (std::size_t at = 0; at + 5 <= request.body.size();) {
            std::size_t size = 0;
            for (std::size_t i = 0; i < 4; ++i)
                size = size << 8 | static_cast<unsigned char>(request.body[at + i]);
            const std::size_t keySize = static_cast<unsigned char>(request.body[at + 4]);
            records.emplace_back(request.body.substr(at + 5, keySize), request.body.substr(at + 5 + keySize, size - 1 - keySize));
            this->largestRecord = std::max<std::size_t>(this->largestRecord, size);
            if (size > this->recordBytes) {
                ++this->oversizedRecords;
                return json(400, Json::object());
            }
            at += 4 + size;
        }
        if (!parameter("at").empty() && std::stoll(parameter("at")) != topic.end())
            return json(412, { { "end", topic.end() } });
        Producer* producer = nullptr;
        std::int64_t number = 0;
        if (!parameter("producer").empty()) {
            producer = &topic.producers[parameter("producer")];
            const std::int64_t epoch = std::stoll(parameter("epoch"));
            number = std::stoll(parameter("seq"));
            if (epoch < producer->epoch)
                return json(409, { { "reason", "fenced" } });
            if (epoch > producer->epoch) {
                *producer = { epoch, records.empty() ? 0 : number - 1, {} };
            } else if (!records.empty()) {
                if (const auto repeated = producer->answers.find(number); repeated != producer->answers.end())
                    return json(200, repeated->second);
                if (number != producer->number + 1)
                    return json(409, { { "reason", "seq" }, { "seq", producer->number + 1 } });
            }
        }
        const std::int64_t offset = topic.end();
        for (const auto& [key, value] : records)
            this->add(topic, key, value);
        const Json answer { { "offset", offset }, { "end", topic.end() } };
        if (producer && !records.empty()) {
            producer->number = number;
            producer->answers[number] = answer;
            if (producer->answers.size() > 5)
                producer->answers.erase(producer->answers.begin());
        }
        this->changed.notify_all();
        return json(200, answer);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Topic> topics;
    HttpServer server;
};

} // namespace review
