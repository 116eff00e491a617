use std::time::Duration;

use membership::MeasureOptions;

use crate::meter::CpuClock;
use crate::size::{HOSTS, Scale, TARGETS};
use crate::{Budget, Meter, Row, Sample};

/// Virtual duration of a run.
const RUN_DURATION: Duration = Duration::from_secs(30);
/// Seed of the runs.
const SEED: u64 = 1;

/// Measures the traffic and processor time of membership, and how long an update takes to reach all entry
/// hosts.
pub(crate) fn measure(scale: Scale, meter: &Meter<'_>) -> Vec<Row> {
    let clock = CpuClock(meter.cpu_time);
    let (mut traffic, mut processor, mut leaving) = (Vec::new(), Vec::new(), Vec::new());
    for &hosts in scale.hosts() {
        let targets = hosts * TARGETS as usize / HOSTS as usize;
        let options = MeasureOptions {
            hosts,
            targets,
            duration: RUN_DURATION,
            seed: SEED,
        };
        let measured = membership::measure(options, &clock);
        let size = hosts as f64;
        let both_ways = measured.sent_per_second + measured.received_per_second;
        traffic.push(Sample {
            size,
            value: both_ways,
        });
        processor.push(Sample {
            size,
            value: measured.cpu_per_second,
        });
        leaving.push(Sample {
            size,
            value: measured.leaving_last.as_secs_f64(),
        });
    }
    vec![
        Row::new(
            "peer",
            "traffic sent and received, bytes/s",
            "hosts",
            HOSTS,
            traffic,
        )
        .with_budget(Budget::Traffic)
        .with_mechanism("fixed number of heartbeats a period, bounded payload"),
        Row::new("peer", "processor time, cores", "hosts", HOSTS, processor)
            .with_budget(Budget::Core)
            .with_mechanism("state machine, work only for what arrives"),
        Row::new(
            "peer",
            "a leaving target known to the last host, s",
            "hosts",
            HOSTS,
            leaving,
        )
        .with_budget(Budget::Seconds(3.0))
        .with_mechanism("rumours on heartbeats, list read by every host"),
    ]
}
