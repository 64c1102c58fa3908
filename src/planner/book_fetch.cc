#include "planner/book_fetch.h"

#include "rpc/link.h"
#include "rpc/rattan.capnp.h"

namespace rattan::planner {

namespace {

    constexpr std::chrono::milliseconds pageTimeout { 1000 };
    constexpr std::uint32_t pageRecords = 2000;

    struct BookPage {
        std::vector<records::JobRecord> records;
        std::uint64_t next { 0 };
    };

    Result<BookPage> fetchPage(rpc::Link<rpc::Planner>& link, std::uint64_t from)
    {
        return link.call<BookPage>(
            "planner.jobRecords", pageTimeout,
            [from](rpc::Planner::Client& client) {
                auto request = client.jobRecordsRequest();
                request.setAfter(from);
                request.setLimit(pageRecords);
                return request.send();
            },
            [&link](auto& response) -> Result<BookPage> {
                BookPage page;
                page.next = response.getNext();
                for (const auto item : response.getRecords()) {
                    BOOST_LEAF_AUTO(json, parseJson(item.getRecord().cStr(), "planner.jobRecords", link.address()));
                    BOOST_LEAF_AUTO(record, records::parseJobRecord(json));
                    page.records.push_back(std::move(record));
                }
                return page;
            });
    }

} // namespace

Result<std::vector<records::JobRecord>> fetchBook(const std::string& address, std::size_t most)
{
    rpc::Link<rpc::Planner> link(address);
    std::vector<records::JobRecord> book;
    std::uint64_t from = 0;
    while (book.size() < most) {
        BOOST_LEAF_AUTO(page, fetchPage(link, from));
        if (page.records.empty())
            break;
        for (records::JobRecord& record : page.records)
            book.push_back(std::move(record));
        from = page.next;
    }
    return book;
}

} // namespace rattan::planner
