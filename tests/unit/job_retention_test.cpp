#include "fleet/job_retention.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

const jobs::job_id first_job{1};
const jobs::job_id second_job{2};

void submit(jobs::state& s, const jobs::job_id& id)
{
    jobs::job_spec spec;
    spec.steps.resize(1);
    jobs::apply(s, jobs::submit_job{id, jobs::queue_id{"q"}, {}, {}, spec, wall_now()});
}

} // namespace

TEST_CASE(
    "retention: a job is kept for the whole time after its end, whatever the wall clocks show")
{
    const mono_time t{1h};
    for (const wall_ms ended_at : {wall_ms{0}, wall_now() - 3'600'000, wall_now() + 3'600'000}) {
        jobs::state s;
        job_retention retention{2min};
        submit(s, first_job);
        submit(s, second_job);
        jobs::apply(s, jobs::cancel_job{first_job, ended_at});
        CHECK(retention.observe(s, t).empty());
        CHECK(retention.observe(s, t + 119s).empty());
        CHECK(retention.observe(s, t + 120s) == std::vector{first_job});
    }
}

TEST_CASE("retention: a job that ends under the id of a removed one is kept for its own time")
{
    const mono_time t{1h};
    jobs::state s;
    job_retention retention{2min};
    submit(s, first_job);
    jobs::apply(s, jobs::cancel_job{first_job, 1000});
    retention.observe(s, t);
    CHECK(retention.observe(s, t + 2min) == std::vector{first_job});
    jobs::apply(s, jobs::remove_jobs{{first_job}});
    submit(s, first_job);
    jobs::apply(s, jobs::cancel_job{first_job, 2000});
    CHECK(retention.observe(s, t + 2min + 2s).empty());
    CHECK(retention.observe(s, t + 4min + 2s) == std::vector{first_job});
}

TEST_CASE("retention: the time of a job whose last run has not ended does not begin")
{
    const mono_time t{1h};
    jobs::state s;
    job_retention retention{2min};
    submit(s, first_job);
    const jobs::run_id run{{first_job, 0, 0, 0}, 1};
    jobs::apply(s, jobs::start_runs{{{run, server_id{"a"}, 1}}});
    jobs::apply(s, jobs::cancel_job{first_job, 1000});
    CHECK(retention.observe(s, t).empty());
    CHECK(retention.observe(s, t + 3min).empty());
    jobs::apply(s, jobs::end_runs{{{run, jobs::run_outcome::stopped, ""}}, 1000, {}, 0, 0});
    CHECK(retention.observe(s, t + 4min).empty());
    CHECK(retention.observe(s, t + 6min) == std::vector{first_job});
}
