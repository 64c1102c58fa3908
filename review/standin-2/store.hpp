#pragma once

// The platform's store, as far as the system uses it: keyed topics with one partition each, appends
// under a condition or by a producer, waiting reads, and the newest record of each key.

#include "http.hpp"

#include <deque>
#include <nlohmann/json.hpp>
#include <vector>

namespace review {

using Json = nlohmann::json;

class Store {
public:
    explicit Store(const std::string& address)
        : server(address, [this](const Request& request) { return this->serve(request); })
    {
    }

    // The answer to a call that arrives by another address than the store's own.
    std::optional<Response> answer(const Request& request) { return this->serve(request); }

    // What the operator and the workers write.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(this->mutex);
        this->topics[topic].add({ key, value });
        this->changed.notify_all();
    }

    void stop()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->stopping = true;
        }
        this->changed.notify_all();
        this->server.down();
    }

    std::optional<std::string> newest(const std::string& topic, const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        const auto& keys = this->topics[topic].newest;
        const auto found = keys.find(key);
        return found == keys.end() ? std::nullopt : std::optional(found->second.first);
    }

private:
    struct Record {
        std::string key;
        std::string value;
    };

    struct Done {
        std::int64_t number { 0 };
        std::int64_t offset { 0 };
        std::int64_t end { 0 };
    };

    struct Producer {
        std::int64_t epoch { -1 };
        std::int64_t number { 0 };
        std::deque<Done> done; // The last five appends.
    };

    struct Topic {
        std::vector<Record> records;
        std::map<std::string, std::pair<std::string, std::int64_t>> newest;
        std::map<std::string, Producer> producers;

        void add(const Record& record)
        {
            if (record.value.empty())
                this->newest.erase(record.key);
            else
                this->newest[record.key] = { record.value, static_cast<std::int64_t>(this->records.size()) };
            this->records.push_back(record);
        }
        std::int64_t end() const { return static_cast<std::int64_t>(this->records.size()); }
    };

    static constexpr Millis answerTime = 4;

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i)
            text += static_cast<char>((value >> (8 * i)) & 0xff);
        return text;
    }

    static std::string base64(const std::string& bytes)
    {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = static_cast<unsigned char>(bytes[i]) << 16;
            if (i + 1 < bytes.size())
                group |= static_cast<unsigned char>(bytes[i + 1]) << 8;
            if (i + 2 < bytes.size())
                group |= static_cast<unsigned char>(bytes[i + 2]);
            text += digits[(group >> 18) & 63];
            text += digits[(group >> 12) & 63];
            text += i + 1 < bytes.size() ? digits[(group >> 6) & 63] : '=';
            text += i + 2 < bytes.size() ? digits[group & 63] : '=';
        }
        return text;
    }

    static std::string parameter(const Request& request, const char* name)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? "" : found->second;
    }

    static std::int64_t integer(const Request& request, const char* name, std::int64_t fallback)
    {
        const std::string text = parameter(request, name);
        return text.empty() ? fallback : std::stoll(text);
    }

    std::optional<Response> serve(const Request& request)
    {
        sleepFor(answerTime);
        std::unique_lock lock(this->mutex);
        if (request.path == "/log-append")
            return this->append(request);
        if (request.path == "/log-read")
            return this->read(request, lock);
        if (request.path == "/log-newest")
            return this->listNewest(request);
        return Response { 404, "{}" };
    }

    static std::optional<std::vector<Record>> parse(const std::string& body)
    {
        std::vector<Record> records;
        for (std::size_t position = 0; position < body.size();) {
            if (position + 5 > body.size())
                return std::nullopt;
            std::size_t size = 0;
            for (int i = 0; i < 4; ++i)
                size = size << 8 | static_cast<unsigned char>(body[position + static_cast<std::size_t>(i)]);
            const std::size_t keySize = static_cast<unsigned char>(body[position + 4]);
            if (size < 1 + keySize || position + 4 + size > body.size())
                return std::nullopt;
            records.push_back({ body.substr(position + 5, keySize), body.substr(position + 5 + keySize, size - 1 - keySize) });
            position += 4 + size;
        }
        return records;
    }

    Response append(const Request& request)
    {
        const std::string name = parameter(request, "topic");
        if (name == "keyed.op" || name == "keyed.servers")
            return { 403, "{}" };
        const auto records = parse(request.body);
        if (!records)
            return { 400, "{}" };
        Topic& topic = this->topics[name];
        const std::int64_t expected = integer(request, "at", -1);
        if (expected >= 0 && expected != topic.end())
            return { 412, Json { { "end", topic.end() } }.dump() };
        Producer* producer = nullptr;
        const std::int64_t number = integer(request, "seq", 0);
        if (const std::string producerName = parameter(request, "producer"); !producerName.empty()) {
            producer = &topic.producers[producerName];
            const std::int64_t epoch = integer(request, "epoch", 0);
            if (epoch < producer->epoch)
                return { 409, Json { { "reason", "fenced" } }.dump() };
            if (epoch > producer->epoch)
                *producer = { epoch, number - 1, {} };
            for (const Done& done : producer->done) {
                if (done.number == number)
                    return { 200, Json { { "offset", done.offset }, { "end", done.end } }.dump() };
            }
            if (number != producer->number + 1)
                return { 409, Json { { "reason", "seq" }, { "seq", producer->number + 1 } }.dump() };
        }
        const std::int64_t offset = topic.end();
        for (const Record& record : *records)
            topic.add(record);
        if (producer) {
            producer->number = number;
            producer->done.push_back({ number, offset, topic.end() });
            if (producer->done.size() > 5)
                producer->done.pop_front();
        }
        this->changed.notify_all();
        return { 200, Json { { "offset", offset }, { "end", topic.end() } }.dump() };
    }

    Response read(const Request& request, std::unique_lock<std::mutex>& lock)
    {
        const std::string name = parameter(request, "topic");
        const std::int64_t from = integer(request, "from", 0);
        const auto isReady = [&] { return this->stopping || this->topics[name].end() > from; };
        this->changed.wait_for(lock, std::chrono::milliseconds(integer(request, "wait_ms", 0)), isReady);
        const Topic& topic = this->topics[name];
        std::string body = bigEndian(static_cast<std::uint64_t>(topic.end()), 8) + bigEndian(0, 8);
        for (std::int64_t i = from; i < topic.end() && body.size() < (1U << 20); ++i) {
            const Record& record = topic.records[static_cast<std::size_t>(i)];
            body += bigEndian(1 + record.key.size() + record.value.size(), 4) + bigEndian(record.key.size(), 1) + record.key + record.value;
        }
        return { 200, body, "application/octet-stream" };
    }

    Response listNewest(const Request& request)
    {
        const Topic& topic = this->topics[parameter(request, "topic")];
        Json items = Json::array();
        auto next = topic.newest.upper_bound(parameter(request, "depends_on"));
        for (; next != topic.newest.end() && items.size() < 500; ++next)
            items.push_back({ { "key", next->first }, { "value", base64(next->second.first) }, { "offset", next->second.second } });
        return { 200, Json { { "items", items }, { "has_more", next != topic.newest.end() }, { "end", topic.end() } }.dump() };
    }

    std::mutex mutex;
    std::condition_variable changed;
    bool stopping { false };
    std::map<std::string, Topic> topics;
    Server server;
};

} // namespace review
