#include "transport/loop/boot_clock.hpp"

#include <ctime>

namespace acaciaslip::transport::loop {

state::time_point bootNow() noexcept
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return state::time_point { std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec } };
}

std::chrono::microseconds unixNow() noexcept
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace acaciaslip::transport::loop
