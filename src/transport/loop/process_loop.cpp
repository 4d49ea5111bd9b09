#include "transport/loop/process_loop.hpp"

#include <memory>
#include <random>
#include <utility>

#include <unistd.h>

namespace acaciaslip::transport::loop {

struct process_loop::background_job {
    uv_work_t request {};
    process_loop* owner = nullptr;
    std::function<void()> work;
    std::function<void()> done;
};

process_loop::process_loop(coordination::log_level lowest)
    : m_log(STDOUT_FILENO, lowest)
{
    uv_loop_init(&m_loop);
    // Log lines are flushed once per loop iteration, before the loop blocks.
    uv_prepare_init(&m_loop, &m_prepare);
    m_prepare.data = this;
    uv_prepare_start(&m_prepare, [](uv_prepare_t* handle) { static_cast<process_loop*>(handle->data)->m_log.flush(); });
    uv_unref(reinterpret_cast<uv_handle_t*>(&m_prepare));
}

process_loop::~process_loop()
{
    uv_close(reinterpret_cast<uv_handle_t*>(&m_prepare), nullptr);
    // Runs the close callbacks of closed handles.
    uv_run(&m_loop, UV_RUN_NOWAIT);
    uv_run(&m_loop, UV_RUN_NOWAIT);
    while (m_backgroundJobs > 0)
        uv_run(&m_loop, UV_RUN_ONCE);
    uv_run(&m_loop, UV_RUN_NOWAIT);
    uv_loop_close(&m_loop);
}

void process_loop::run()
{
    uv_run(&m_loop, UV_RUN_DEFAULT);
    m_log.flush();
}

void process_loop::runInBackground(std::function<void()> work, std::function<void()> done)
{
    auto* const job = new background_job { {}, this, std::move(work), std::move(done) };
    job->request.data = job;
    ++m_backgroundJobs;
    uv_queue_work(
        &m_loop, &job->request, [](uv_work_t* request) { static_cast<background_job*>(request->data)->work(); },
        [](uv_work_t* request, int /*status*/) {
            const std::unique_ptr<background_job> finished(static_cast<background_job*>(request->data));
            --finished->owner->m_backgroundJobs;
            finished->done();
        });
}

std::uint64_t makeSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace acaciaslip::transport::loop
