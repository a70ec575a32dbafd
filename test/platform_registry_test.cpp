#include "net/socket_address.h"
#include "platform/caller_codec.h"
#include "platform/record_reader.h"
#include "platform/store_client.h"
#include "platform/wire_json.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>
#include <vector>

namespace anvilmoor::adapter {

// Tests entries and bodies that other programs write: out of range, deeply nested, of odd bytes. Each passes
// through the real store client and the real decoders.
class PlatformRegistryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformRegistryTest);
    CPPUNIT_TEST(testValidEntryNamesItsWorker);
    CPPUNIT_TEST(testEntryWithPortOutOfRangeIsRejected);
    CPPUNIT_TEST(testEntryWithNumberOutOfRangeIsRejectedByField);
    CPPUNIT_TEST(testEntryWithDeepNestingIsRejected);
    CPPUNIT_TEST(testReasonOfRejectedEntryIsShort);
    CPPUNIT_TEST(testOddRowsLeaveOtherRowsOfFeedReadable);
    CPPUNIT_TEST(testJobBodyWithNumberOutOfRangeIsRejectedByField);
    CPPUNIT_TEST(testJobBodyWithDeepNestingIsRejected);
    CPPUNIT_TEST(testConfigurationWithNumberOutOfRangeIsRejectedByField);
    CPPUNIT_TEST(testMutatedEntriesAreDecodedOrRejected);
    CPPUNIT_TEST_SUITE_END();

    class AnsweringClient : public net::HttpClient {
    public:
        explicit AnsweringClient(std::string body)
            : m_body(std::move(body))
        {
        }
        net::HttpCallId call(
            const net::SocketAddress&, net::HttpRequest, Milliseconds, net::HttpCallback callback) override
        {
            callback({ { 200, {}, m_body } });
            return 1;
        }
        void cancel(net::HttpCallId) override { }

    private:
        std::string m_body;
    };

    telemetry::EventLog m_log { {}, telemetry::LogLevel::Error,
        { [] { return WallTime(); }, [] { return TimePoint(); } }, [](std::string_view) {} };

    static std::string entryWith(
        const std::string& address, const std::string& fields, const std::string& capacity)
    {
        return fmt::format(R"({{"service":"huvo","address":"{}","zone":"north","state":"ready",)"
                           R"("capacity":{},"labels":["a","r1-3"],{}}})",
            address, capacity, fields);
    }

    static std::string goodCapacity() { return R"({"cpu":16000,"memMb":32768,"gpu":8})"; }

    static std::string validEntry() { return entryWith("10.128.0.9:8080", R"("born":1700)", goodCapacity()); }

    static tl::expected<batch::WorkerRecord, std::string> decode(std::string value)
    {
        return makeRecordReader()->worker({ { "servers", "", "i-7f" }, std::move(value), 3 });
    }

    static void requireRejected(const std::string& value, const std::string& field)
    {
        const auto worker = decode(value);
        CPPUNIT_ASSERT_MESSAGE(value.substr(0, 300), !worker);
        CPPUNIT_ASSERT_MESSAGE(worker.error(), worker.error().find("\"" + field + "\"") != std::string::npos);
    }

    static std::string rowOf(const std::string& key, const std::string& value)
    {
        return fmt::format(
            R"({{"table":"servers","key":"{}","value":"{}","rowVersion":6}})", key, toBase64(value));
    }

    static std::string nested(std::size_t levels)
    {
        return std::string(levels, '[') + std::string(levels, ']');
    }

    static std::string problemOf(const std::string& body)
    {
        return decodeRequest({ "POST", "/lohu/5c0e7a21d94b36f8", {}, body })->problem;
    }

    static void requireProblem(const std::string& body, const std::string& field)
    {
        const std::string problem = problemOf(body);
        CPPUNIT_ASSERT_MESSAGE(body + ": " + problem, problem.find("\"" + field + "\"") != std::string::npos);
    }

    static std::vector<std::string> numbersOutOfRange()
    {
        return { "-1", "-9223372036854775808", "9223372036854775807", "9223372036854775808",
            "18446744073709551615" };
    }

    // The largest row value that the platform's store allows.
    static constexpr std::size_t rowBytes = 65'536;

public:
    void testValidEntryNamesItsWorker()
    {
        const auto worker = decode(validEntry());
        CPPUNIT_ASSERT(worker.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"), worker->address);
        const auto ipv6 = decode(entryWith("[::1]:65535", R"("born":1700)", goodCapacity()));
        CPPUNIT_ASSERT(ipv6.has_value());
    }

    void testEntryWithPortOutOfRangeIsRejected()
    {
        for (const char* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1",
                 "10.0.0.1:+80", "10.0.0.1: 80", "10.0.0.1:80 ", "10.0.0.1:", "10.0.0.1", ":80", "[]:80",
                 "[::1:80", "10.0.0.1\\u0000x:80", "10.0.0.1:80\\u0000", "host:80", "10.0.0.1:0x50" })
            requireRejected(entryWith(address, R"("born":1700)", goodCapacity()), "address");
        requireRejected(
            entryWith(std::string(60'000, '1') + ":80", R"("born":1700)", goodCapacity()), "address");
    }

    void testEntryWithNumberOutOfRangeIsRejectedByField()
    {
        for (const std::string& number : numbersOutOfRange()) {
            requireRejected(entryWith("10.0.0.1:80", "\"born\":" + number, goodCapacity()), "born");
            const std::string remaining
                = entryWith("10.0.0.1:80", "\"born\":1700,\"remainingMs\":" + number, goodCapacity());
            if (number == "-1")
                CPPUNIT_ASSERT(decode(remaining)->remaining == Milliseconds(0));
            else
                requireRejected(remaining, "remainingMs");
            requireRejected(
                entryWith("10.0.0.1:80", "\"born\":1700,\"clockMs\":" + number, goodCapacity()), "clockMs");
            for (const char* field : { "cpu", "memMb", "gpu" })
                requireRejected(
                    entryWith("10.0.0.1:80", R"("born":1700)", fmt::format(R"({{"{}":{}}})", field, number)),
                    field);
        }
        CPPUNIT_ASSERT(!decode(entryWith("10.0.0.1:80", R"("born":1e400)", goodCapacity())));
        CPPUNIT_ASSERT(!decode(entryWith("10.0.0.1:80", R"("born":1.5)", goodCapacity())));
    }

    void testEntryWithDeepNestingIsRejected()
    {
        const std::size_t levels = rowBytes / 2 - 200;
        CPPUNIT_ASSERT(!decode(std::string(rowBytes, '[')));
        CPPUNIT_ASSERT(!decode(nested(levels)));
        CPPUNIT_ASSERT(!decode(entryWith("10.0.0.1:80", "\"born\":" + nested(levels), goodCapacity())));
        CPPUNIT_ASSERT(!decode(entryWith("10.0.0.1:80", R"("born":1700)", nested(levels))));
        CPPUNIT_ASSERT(
            !decode(entryWith("10.0.0.1:80", "\"born\":1700,\"other\":" + nested(levels), goodCapacity())));
    }

    // A longer line may block the daemon while the reader of its log is slow.
    void testReasonOfRejectedEntryIsShort()
    {
        constexpr std::size_t maxReason = 300;
        const std::string text(60'000, 'x');
        const auto address = decode(entryWith(text, R"("born":1700)", goodCapacity()));
        CPPUNIT_ASSERT(!address && address.error().size() <= maxReason);
        const auto state = decode(
            R"({"born":1,"address":"10.0.0.1:80","service":"s","zone":"z","state":")" + text + "\"}");
        CPPUNIT_ASSERT(!state && state.error().size() <= maxReason);
    }

    void testOddRowsLeaveOtherRowsOfFeedReadable()
    {
        const std::vector<std::string> odd { "", "\xff\xfe", std::string("\0\1\2", 3), nested(30'000),
            entryWith("10.0.0.1:0", R"("born":1700)", goodCapacity()),
            entryWith("10.0.0.1:80", R"("born":9223372036854775808)", goodCapacity()) };
        std::string rows = rowOf("first", validEntry());
        for (std::size_t i = 0; i < odd.size(); ++i)
            rows += "," + rowOf(fmt::format("odd\\r\\n{}", i), odd[i]);
        rows += R"(,{"table":"servers","key":"no-base64","value":"%%%","rowVersion":6})";
        rows += R"(,{"table":"servers","key":"no-text","value":7,"rowVersion":6})";
        rows += R"(,{"table":"servers","key":"list","value":[["x"]],"rowVersion":6})";
        rows += "," + rowOf("last", validEntry());
        AnsweringClient client(fmt::format(R"({{"rows":[{}],"rowVersion":6,"nowMs":1}})", rows));
        const auto store = makeStoreClient(client, { "10.0.0.9", 7 }, m_log);
        batch::FeedReply feed;
        store->feed("servers", 5, Milliseconds(0), [&](batch::FeedReply each) { feed = std::move(each); });
        CPPUNIT_ASSERT(feed.outcome == batch::FeedOutcome::Ok);
        CPPUNIT_ASSERT_EQUAL(batch::RowVersion { 6 }, feed.version);
        std::vector<std::string> named;
        for (const batch::Row& row : feed.rows) {
            if (const auto worker = makeRecordReader()->worker(row))
                named.push_back(worker->lifetime.id.value());
        }
        CPPUNIT_ASSERT((named == std::vector<std::string> { "first", "last" }));
        batch::TableSnapshot snapshot;
        store->read(
            { "servers", "", "" }, {}, [&](batch::TableSnapshot each) { snapshot = std::move(each); });
        CPPUNIT_ASSERT(snapshot.isOk);
        CPPUNIT_ASSERT_EQUAL(feed.rows.size(), snapshot.rows.size());
    }

    void testJobBodyWithNumberOutOfRangeIsRejectedByField()
    {
        for (const std::string& number : numbersOutOfRange()) {
            for (const char* field : { "count", "cpu", "memMb", "gpu", "estimateMs", "antiAffinity" })
                requireProblem(fmt::format(R"({{"steps":[{{"{}":{}}}]}})", field, number), field);
            for (const char* field : { "startAtMs", "intervalMs", "repeats" })
                requireProblem(fmt::format(R"({{"steps":[{{}}],"{}":{}}})", field, number), field);
            requireProblem(fmt::format(R"({{"steps":[{{}},{{"after":[{}]}}]}})", number), "after");
        }
        requireProblem(R"({"steps":[{"estimateMs":1e300}]})", "estimateMs");
        requireProblem(R"({"steps":[{"count":4294967297}]})", "count");
        requireProblem(R"({"steps":[{}],"repeats":4294967297})", "repeats");
        requireProblem(R"({"steps":[{}],"repeats":2000000000})", "repeats");
        requireProblem(R"({"steps":[{},{"after":[4294967296]}]})", "after");
        requireProblem(R"({"steps":[{"antiAffinity":4294967297}]})", "antiAffinity");
        CPPUNIT_ASSERT(!problemOf(R"({"steps":[{"estimateMs":1e400}]})").empty());
    }

    void testJobBodyWithDeepNestingIsRejected()
    {
        constexpr std::size_t levels = 1'000'000;
        CPPUNIT_ASSERT(!problemOf(std::string(levels, '[')).empty());
        CPPUNIT_ASSERT(!problemOf(nested(levels)).empty());
        CPPUNIT_ASSERT(!problemOf(R"({"steps":[{"after":)" + nested(levels) + "}]}").empty());
        CPPUNIT_ASSERT(!problemOf(R"({"steps":[{}],"other":)" + nested(levels) + "}").empty());
        std::string objects;
        for (std::size_t i = 0; i < levels; ++i)
            objects += R"({"a":)";
        CPPUNIT_ASSERT(!problemOf(objects + "1" + std::string(levels, '}')).empty());
    }

    void testConfigurationWithNumberOutOfRangeIsRejectedByField()
    {
        const auto requireInvalid = [](const std::string& value, const std::string& field) {
            const auto configuration
                = makeRecordReader()->configuration({ { "op", "", "config" }, value, 3 });
            CPPUNIT_ASSERT_MESSAGE(value, !configuration);
            CPPUNIT_ASSERT_MESSAGE(
                configuration.error(), configuration.error().find("\"" + field + "\"") != std::string::npos);
        };
        for (const std::string& number : numbersOutOfRange()) {
            for (const char* field : { "priority", "maxAttempts", "targetLatencyMs", "stretch" })
                requireInvalid(
                    fmt::format(
                        R"({{"version":7,"routes":[{{"name":"r","service":"s","{}":{}}}]}})", field, number),
                    field);
            requireInvalid(
                fmt::format(
                    R"({{"version":7,"tenants":[{{"name":"k","guaranteed":{{"gpu":{}}}}}]}})", number),
                "gpu");
        }
        for (const char* number : { "-1", "9223372036854775808" }) {
            requireInvalid(fmt::format(R"({{"version":{}}})", number), "version");
            requireInvalid(
                fmt::format(R"({{"version":7,"limits":{{"maxBodyBytes":{}}}}})", number), "maxBodyBytes");
        }
    }

    // Every accepted record must be within the ranges that the other modules rely on.
    void testMutatedEntriesAreDecodedOrRejected()
    {
        constexpr int rounds = 40'000;
        const std::vector<std::string> pieces { "[", "]", "{", "}", "\"", ":", ",", "-", "1e400", "1e308",
            "9223372036854775807", "9223372036854775808", "18446744073709551616", "null", "true", "\xff",
            "\\u0000", "\\ud800", ":0\"", ":65536\"", "[[[[[[[[", "[::1]" };
        std::mt19937_64 random(18);
        const auto below = [&](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
        const auto reader = makeRecordReader();
        int accepted = 0;
        for (int round = 0; round < rounds; ++round) {
            std::string entry = validEntry();
            for (std::size_t change = below(3); change < 3; ++change) {
                const std::size_t position = below(entry.size());
                const std::size_t length = below(std::min<std::size_t>(entry.size() - position, 12));
                const std::string& piece = pieces[below(pieces.size())];
                if (below(2))
                    entry[position] = static_cast<char>(random());
                else
                    entry.replace(position, length, piece);
            }
            const auto worker = reader->worker({ { "servers", "", "i" }, entry, 3 });
            if (!worker)
                continue;
            ++accepted;
            const auto address = net::parseSocketAddress(worker->address);
            CPPUNIT_ASSERT_MESSAGE(entry, address && address->port);
            CPPUNIT_ASSERT_MESSAGE(entry, worker->lifetime.startedAtMs > 0);
            CPPUNIT_ASSERT_MESSAGE(entry, (batch::Resources {}.fitsIn(worker->capacity)));
        }
        // The mutations leave some entries valid, so both outcomes are covered.
        CPPUNIT_ASSERT(accepted > 0 && accepted < rounds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformRegistryTest);

} // namespace anvilmoor::adapter
