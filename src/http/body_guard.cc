#include "http/body_guard.h"

#include <cstdlib>
#include <mutex>
#include <orcania.h>

namespace rattan::http::detail {

namespace {

    struct GuardedBody {
        const _u_request* request { nullptr };
        BodyGuard* guard { nullptr };
    };

    thread_local GuardedBody threadBody;

    // ulfius drops its pointer to the block if this fails, so the block is freed then.
    void* reallocate(void* block, std::size_t bytes)
    {
        const GuardedBody& body = threadBody;
        if (!body.guard || block != body.request->binary_body || body.guard->mayGrow(bytes))
            return std::realloc(block, bytes);
        std::free(block);
        return nullptr;
    }

} // namespace

void installBodyGuards()
{
    static std::once_flag once;
    std::call_once(once, [] { o_set_alloc_funcs(&std::malloc, &reallocate, &std::free); });
}

void guardBody(const _u_request* request, BodyGuard& guard) { threadBody = { request, &guard }; }

void endGuard() { threadBody = {}; }

} // namespace rattan::http::detail
