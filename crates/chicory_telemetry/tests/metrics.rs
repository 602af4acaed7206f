//! Tests of counters and gauges, as the metrics page shows them, and of log formats.

use chicory_telemetry::{LogFormat, MetricName, Metrics};
use googletest::prelude::*;

#[derive(Clone, Copy)]
enum TestMetric {
    Requests,
    Waiting,
}

impl MetricName for TestMetric {
    fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Waiting => "waiting",
        }
    }

    fn help(self) -> &'static str {
        "A metric of the test."
    }
}

#[gtest]
fn counters_and_gauges_are_rendered_with_the_prefix() -> Result<()> {
    let metrics = Metrics::new()?;
    metrics.add(TestMetric::Requests, 2);
    metrics.increment(TestMetric::Requests);
    metrics.set(TestMetric::Waiting, 7);
    let page = metrics.render()?;
    expect_that!(page, contains_substring("chicory_requests_total 3"));
    expect_that!(page, contains_substring("chicory_waiting 7"));
    Ok(())
}

#[gtest]
fn raise_to_never_lowers_a_counter() -> Result<()> {
    let metrics = Metrics::new()?;
    metrics.raise_to(TestMetric::Requests, 5);
    metrics.raise_to(TestMetric::Requests, 3);
    expect_that!(metrics.total(TestMetric::Requests), eq(5));
    Ok(())
}

#[gtest]
fn log_formats_are_parsed() {
    expect_that!("json".parse::<LogFormat>(), ok(eq(&LogFormat::Json)));
    expect_that!("xml".parse::<LogFormat>(), err(anything()));
}
