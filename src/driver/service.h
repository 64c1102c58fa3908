#pragma once

// The Driver interface of src/rpc/rattan.capnp over a Runtime.

#include "driver/runtime.h"
#include "rpc/rattan.capnp.h"

#include <functional>

namespace rattan::driver {

class DriverService final : public rpc::Driver::Server {
public:
    // `onDrain` is called when the planner asks for a drain; must not block.
    DriverService(Runtime& runtime, std::function<void()> onDrain)
        : runtime(runtime)
        , onDrain(std::move(onDrain))
    {
    }

protected:
    kj::Promise<void> exchange(ExchangeContext) override;
    kj::Promise<void> survey(SurveyContext) override;
    kj::Promise<void> drain(DrainContext) override;

private:
    Runtime& runtime;
    std::function<void()> onDrain;
};

} // namespace rattan::driver
